// Package metastore is a stand-in for the platform's metadata store, for tests: objects by kind and
// name with revisions, conditional writes, watches, rate limits and a bounded history. It can
// inject the faults of the real store. It serves over HTTP, or without a network for tests under
// fake time.
package metastore
