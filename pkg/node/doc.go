// Package node assembles and runs the components of a node: the listeners for callers, operators
// and peers, and the control goroutine.
package node
