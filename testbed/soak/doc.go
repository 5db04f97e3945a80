// Package soak runs real nodes as separate processes on loopback, injects faults
// from outside at random by a seed, and checks the promises from what callers and
// instances see.
package soak
