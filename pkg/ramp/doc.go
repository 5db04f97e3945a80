// Package ramp limits the requests in flight from all nodes together to a target that has just
// started, and raises the limit as the target warms up.
package ramp
