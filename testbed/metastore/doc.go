// Package metastore is a stand-in of the platform's metadata store: objects by kind
// and name with revisions, conditional writes, watches, rates and a bounded history.
// It can show the faults of the real one. It serves over HTTP, and without a network
// for tests under fake time.
package metastore
