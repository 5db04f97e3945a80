package retry

import (
	"sync"
	"time"
)

// bucketCount is the number of buckets into which a window is divided. The oldest bucket is dropped
// as a whole.
const bucketCount = 10

// Window limits the additional attempts (retries and hedges) at one service in a sliding time
// window. Each node has a part of the fleet's budget, a ratio of its own requests and an equal
// share of the extra attempts, so that all nodes together stay within the budget without
// communication. It is safe for concurrent use.
type Window struct {
	mu       sync.Mutex
	length   time.Duration
	start    time.Time
	current  int64
	requests [bucketCount]float64
	retries  [bucketCount]float64
}

// NewWindow returns an empty window of the given length.
func NewWindow(length time.Duration, now time.Time) *Window {
	return &Window{length: length, start: now}
}

// RecordRequest counts a request to the service.
func (w *Window) RecordRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.requests[w.current%bucketCount]++
}

// Acquire counts an additional attempt and reports true if the attempts in the window then do not
// exceed ratio times the requests plus extra.
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
