// Package node joins the parts of a node: the listeners for callers, operators
// and peers, and the control goroutine.
package node
