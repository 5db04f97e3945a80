// Package datacentre checks whether a change leaves enough capacity when it takes
// data centres out of service, and derives the status of such a move.
package datacentre
