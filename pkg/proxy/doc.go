// Package proxy implements the HTTP handler for callers: it matches a call to a route, chooses a
// target, sends the request, retries where that is safe, and returns the response.
package proxy
