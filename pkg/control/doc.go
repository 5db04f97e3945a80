// Package control runs the goroutine that owns the control state of a node and
// publishes snapshots for traffic.
package control
