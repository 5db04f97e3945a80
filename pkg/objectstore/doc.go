// Package objectstore defines the interface to the platform's metadata store: versioned objects,
// conditional writes, watches, and the list of VMs, which lags behind the actual VMs. Package
// platform implements it.
package objectstore
