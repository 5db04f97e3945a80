// Package control implements the control loop of a node. One goroutine owns the node's control
// state: the configuration, the membership, the states of targets, leases, rollouts and data centre
// transitions. Events are functions that run on that goroutine; its output is snapshots for the
// data path, messages to peers and calls to the platform.
//
// Every node runs a Controller. One node at a time holds the lease named controller and is the
// leader: it alone reconciles the statuses of rollouts, data centres and the fleet with the
// observed state, and writes them to the platform.
package control
