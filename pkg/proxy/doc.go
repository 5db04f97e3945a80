// Package proxy serves callers: it matches a call to a route, chooses a target,
// sends the call and returns the answer.
package proxy
