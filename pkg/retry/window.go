package retry

import (
	"sync"
	"time"
)

// bucketCount is the number of parts of a window; the oldest part is dropped whole.
const bucketCount = 10

// Window bounds the additional arrivals at one service in a sliding window. Each
// node gets a part of the fleet's budget: a ratio of its own requests and an equal
// share of the extra ones, so that all nodes together stay within it without
// telling each other.
type Window struct {
	mu       sync.Mutex
	length   time.Duration
	start    time.Time
	current  int64
	requests [bucketCount]float64
	retries  [bucketCount]float64
}

// NewWindow returns an empty window of a length.
func NewWindow(length time.Duration, now time.Time) *Window {
	return &Window{length: length, start: now}
}

// RecordRequest counts a request for the service.
func (w *Window) RecordRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.requests[w.current%bucketCount]++
}

// Acquire counts a further arrival if ratio times the requests plus extra allows it.
func (w *Window) Acquire(now time.Time, ratio, extra float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if sum(w.retries)+1 > ratio*sum(w.requests)+extra {
		return false
	}
	w.retries[w.current%bucketCount]++
	return true
}

func (w *Window) advance(now time.Time) {
	bucket := int64(now.Sub(w.start) / (w.length / bucketCount))
	for skipped := 0; w.current < bucket && skipped < bucketCount; skipped++ {
		w.current++
		w.requests[w.current%bucketCount] = 0
		w.retries[w.current%bucketCount] = 0
	}
	w.current = max(w.current, bucket)
}

func sum(values [bucketCount]float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}
