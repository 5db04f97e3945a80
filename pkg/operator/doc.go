// Package operator serves the resource API to operators.
package operator
