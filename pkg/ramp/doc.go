// Package ramp decides how many requests a target that has just started may
// have in flight from all nodes together.
package ramp
