// Package soak runs real nodes as separate processes on loopback, injects random faults from
// outside in an order that a seed determines, and checks the service guarantees from what callers
// and instances observe.
package soak
