// Package edge is a node on the users' platform. One control goroutine owns what the
// node believes: it takes changes from the store or from other nodes, publishes them to
// traffic as a topology, and leads rollouts when it is the node's turn. Requests run on
// goroutines of their own and read the topology without locks.
package edge
