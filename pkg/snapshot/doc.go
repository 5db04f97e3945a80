// Package snapshot defines the immutable view of configuration and targets that
// the control goroutine publishes and traffic goroutines read.
package snapshot
