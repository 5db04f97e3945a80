// Package operator tests the resource API against the simulated platform store.
package operator
