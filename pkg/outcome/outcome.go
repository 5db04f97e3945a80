// Package outcome counts the requests of one route and version for the judgement
// of a version.
package outcome

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minMicros = 1
	maxMicros = 10 * 60 * 1000 * 1000 // longer requests count as this long
	digits    = 2
)

// Recorder counts requests. The zero value is ready for use.
type Recorder struct {
	mu     sync.Mutex
	counts Counts
}

// Counts is what a Recorder counted. The histogram is in microseconds and nil
// when there was no request.
type Counts struct {
	Requests, Failures int
	Histogram          *hdrhistogram.Histogram
}

// Record counts a request.
func (r *Recorder) Record(latency time.Duration, failed bool) {
	micros := min(max(latency.Microseconds(), minMicros), maxMicros)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts.Histogram == nil {
		r.counts.Histogram = hdrhistogram.New(minMicros, maxMicros, digits)
	}
	_ = r.counts.Histogram.RecordValue(micros) // cannot fail within the bounds
	r.counts.Requests++
	if failed {
		r.counts.Failures++
	}
}

// Take returns the counts since the last call.
func (r *Recorder) Take() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := r.counts
	r.counts = Counts{}
	return counts
}
