package outcome

import (
	"sync"
	"time"
)

// Recorder counts request outcomes. It is safe for concurrent use, and its zero value is ready
// for use.
type Recorder struct {
	mu     sync.Mutex
	counts Counts
}

// Record counts a request. Latencies are clamped to MinLatencyMicros and MaxLatencyMicros.
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

// RecordUntimed counts a request without its latency, because the target was cold and its
// latency is no evidence on the version.
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

// Collect returns the counts since the last call and resets them.
func (r *Recorder) Collect() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := r.counts
	r.counts = Counts{}
	return counts
}
