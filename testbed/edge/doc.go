// Package edge tests nodes against stand-ins for the users' platform and for its instances. Numbers
// such as P5 in the tests refer to the promises in docs/design.md.
package edge
