// Package share ranks nodes for a key by rendezvous hashing and divides the
// units of a limit over nodes. All nodes that are given the same names reach the
// same result without communication. Names in a list must be distinct; their
// order does not matter.
package share
