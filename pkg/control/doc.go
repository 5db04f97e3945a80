// Package control runs the goroutine that owns a node's control state: the
// configuration, the members, the states of targets, leases and moves. Events
// come in as functions that run on that goroutine; what it decides goes out as
// snapshots for traffic, messages to peers and calls on the platform.
package control
