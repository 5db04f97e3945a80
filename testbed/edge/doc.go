// Package edge runs nodes on stand-ins of the users' platform and of its instances.
package edge
