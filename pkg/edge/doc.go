// Package edge implements a node on the users' platform. One control goroutine owns the
// node's control state: it receives changes from the store or from other nodes, publishes
// them to the request path as a topology, and advances rollouts while the node is the leader.
// Requests run on goroutines of their own and read the topology without locks.
package edge
