// Package snapshot defines the immutable view of the configuration and the targets that the control
// goroutine publishes and that request goroutines read.
package snapshot
