// Package operator tests the resource API against the platform stand-in.
package operator
