// Package wait pauses a goroutine.
package wait

import (
	"context"
	"time"
)

// For waits for a time. It returns false when the context ended before.
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
