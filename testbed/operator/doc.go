// Package operator tests the resource API against the stand-in for the platform's store.
package operator
