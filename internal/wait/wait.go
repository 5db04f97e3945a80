// Package wait provides a sleep that a context can interrupt.
package wait

import (
	"context"
	"time"
)

// For waits for the duration. It returns false when the context ended first.
func For(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
