package placement

import (
	"sync"
	"time"
)

const (
	// keptTimeouts is how many of the latest requests show a route's usual timeout.
	keptTimeouts = 32
	// usualRank is the part of them that is not above the usual one. Most of the others
	// are of callers that come back, a few of callers that are more patient than most.
	usualRank = 0.8
	// minAge is the least part of the usual timeout that counts as time gone by. Callers
	// differ among each other by nearly as much.
	minAge = 0.2
)

// Timeouts learns how long the callers of a route wait at first. One that comes back
// after a refusal has less time left, which tells how long ago it asked first.
type Timeouts struct {
	mu     sync.Mutex
	recent recent[time.Duration]
}

// Age takes in a request's timeout and returns the time since the caller's first
// attempt, 0 when it is the first or the timeout is not known.
func (t *Timeouts) Age(timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recent.size = keptTimeouts
	t.recent.add(timeout)
	usual := t.recent.quantile(usualRank)
	age := usual - timeout
	if age < time.Duration(minAge*float64(usual)) {
		return 0
	}
	return age
}
