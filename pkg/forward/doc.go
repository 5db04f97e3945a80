// Package forward passes the requests of callers on to targets over HTTP. It asks
// a few targets for their load before each send, sends a request that may run only
// once to at most one target that may have run it, and says "not run" only when
// that is certain.
package forward
