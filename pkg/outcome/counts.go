// Package outcome counts what became of requests per route and version.
package outcome

import (
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of latency histograms.
const (
	MinLatencyMicros  = 1
	MaxLatencyMicros  = 600_000_000
	SignificantDigits = 2
)

// Counts is what became of the requests of one route and version in one period.
type Counts struct {
	// Requests is how many requests ended, failures included.
	Requests int
	// Failures is how many of them failed.
	Failures int
	// Histogram holds latencies in microseconds; nil is an empty histogram.
	Histogram *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram of latencies in microseconds.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(MinLatencyMicros, MaxLatencyMicros, SignificantDigits)
}

// Merge adds other to the counts. The histogram of other is only read.
func (c *Counts) Merge(other Counts) {
	c.Requests += other.Requests
	c.Failures += other.Failures
	if other.Histogram == nil {
		return
	}
	if c.Histogram == nil {
		c.Histogram = NewHistogram()
	}
	c.Histogram.Merge(other.Histogram)
}

// Timed returns how many requests have a latency in the histogram.
func (c *Counts) Timed() int {
	if c.Histogram == nil {
		return 0
	}
	return int(c.Histogram.TotalCount())
}

// CountAbove returns how many latencies are longer than micros, at the histogram's
// resolution: latencies that share a bucket with micros are not counted. The search over ranks allocates
// nothing; listing the buckets took 200 KB a call.
func (c *Counts) CountAbove(micros int64) int {
	timed := c.Timed()
	notAbove := sort.Search(timed, func(i int) bool {
		value := c.Histogram.ValueAtQuantile(100 * float64(i+1) / float64(timed))
		return value > micros && !c.Histogram.ValuesAreEquivalent(value, micros)
	})
	return timed - notAbove
}
