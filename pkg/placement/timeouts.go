package placement

import (
	"sync"
	"time"
)

const (
	// timeoutSamples is the number of latest requests that give a route's usual timeout.
	timeoutSamples = 32
	// usualQuantile is the quantile of the samples that is the usual timeout. Most samples
	// below it belong to retries, and a few above it to callers with longer timeouts.
	usualQuantile = 0.8
	// minAgeShare is the smallest share of the usual timeout that counts as elapsed time.
	// The timeouts of different callers vary by nearly as much.
	minAgeShare = 0.2
)

// CallerTimeouts estimates the timeout with which callers of a route make their first attempt.
// A caller that retries after a rejection has less time left; the difference is the time since
// its first attempt.
type CallerTimeouts struct {
	mu      sync.Mutex
	samples slidingWindow[time.Duration]
}

// EstimateAge records a request's timeout and returns the time since the caller's first
// attempt, 0 if it is the first one or the timeout is unknown.
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
