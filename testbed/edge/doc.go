// Package edge tests nodes against stand-ins for the users' platform and for its instances.
package edge
