package outcome

import (
	"sync"
	"time"
)

// Recorder counts requests. The zero value is ready for use.
type Recorder struct {
	mu     sync.Mutex
	counts Counts
}

// Record counts a request. A longer latency than MaxLatencyMicros counts as that.
func (r *Recorder) Record(latency time.Duration, failed bool) {
	micros := min(max(latency.Microseconds(), MinLatencyMicros), MaxLatencyMicros)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts.Histogram == nil {
		r.counts.Histogram = NewHistogram()
	}
	_ = r.counts.Histogram.RecordValue(micros) // cannot fail within the bounds
	r.count(failed)
}

// RecordUntimed counts a request whose latency says nothing of the version,
// because the target was cold.
func (r *Recorder) RecordUntimed(failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(failed)
}

func (r *Recorder) count(failed bool) {
	r.counts.Requests++
	if failed {
		r.counts.Failures++
	}
}

// Collect returns the counts since the last call.
func (r *Recorder) Collect() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := r.counts
	r.counts = Counts{}
	return counts
}
