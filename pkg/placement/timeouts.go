package placement

import (
	"sync"
	"time"
)

const (
	// timeoutSamples is how many of the latest requests show a route's usual timeout.
	timeoutSamples = 32
	// usualQuantile is the part of them that is not above the usual one. Most of the others
	// are of callers that come back, a few of callers that are more patient than most.
	usualQuantile = 0.8
	// minAgeShare is the least part of the usual timeout that counts as time gone by. Callers
	// differ among each other by nearly as much.
	minAgeShare = 0.2
)

// CallerTimeouts learns how long the callers of a route wait at first. One that comes back
// after a refusal has less time left, which tells how long ago it asked first.
type CallerTimeouts struct {
	mu      sync.Mutex
	samples slidingWindow[time.Duration]
}

// EstimateAge takes in a request's timeout and returns the time since the caller's first
// attempt, 0 when it is the first or the timeout is not known.
func (t *CallerTimeouts) EstimateAge(timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.samples.size = timeoutSamples
	t.samples.add(timeout)
	usual := t.samples.quantile(usualQuantile)
	age := usual - timeout
	if age < time.Duration(minAgeShare*float64(usual)) {
		return 0
	}
	return age
}
