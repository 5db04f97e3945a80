// Package objectstore is what the product needs of the platform's metadata store:
// versioned objects, conditional writes, watches, and the lagging list of VMs. The
// package platform implements it.
package objectstore
