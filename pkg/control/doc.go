// Package control runs the goroutine that owns a node's control state: the
// configuration, the members, the states of targets, leases and moves. Events
// come in as functions that run on that goroutine; what it decides goes out as
// snapshots for traffic, messages to peers and calls on the platform.
//
// Every node has a Controller. One node at a time also holds the lease named
// controller; it alone reconciles the statuses of rollouts, data centres and the
// fleet with what is observed, and writes them to the platform.
package control
