// Package transport is the HTTP client for targets. It runs net/http's Transport over wrapped
// connections that record, for each request, whether a byte of it was passed to the kernel. It
// never sends a request twice.
package transport
