// Package share ranks nodes for a key by rendezvous hashing and divides the units of a limit among
// nodes. All nodes that use the same list of names compute the same result without communication.
// The names in a list must be distinct; their order does not matter.
package share
