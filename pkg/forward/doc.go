// Package forward forwards the requests of callers to targets over HTTP. It probes the load of
// a few targets before each attempt. A non-idempotent request is retried only if it certainly
// did not run at the previous target, and it is reported as "not run" to the caller only if that
// is certain.
package forward
