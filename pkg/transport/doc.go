// Package transport is the client side to targets. It runs net/http's Transport
// over connections of its own that know, for each request, whether a byte of it
// was passed to the kernel, and it never sends a request twice.
package transport
