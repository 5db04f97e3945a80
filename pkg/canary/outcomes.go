// Package canary decides the steps of a rollout: which share of a service's requests the new
// version receives, when the version is found to be bad, and when the rollout is complete. The
// counts come from all nodes; the decision is a pure function of them.
package canary

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/fireflychute/fireflychute/pkg/forward"
	"github.com/fireflychute/fireflychute/pkg/outcome"
	"github.com/fireflychute/fireflychute/pkg/quota"
)

const (
	// bucketCount latency buckets, each bucketGrowth times as wide as the one before, cover 1 ms
	// to 2 minutes.
	bucketCount  = 40
	bucketGrowth = 1.35
)

// Key identifies one row of counts.
type Key struct {
	Service string
	// Order identifies the rollout's order.
	Order uint64
	Route string
	// Canary is set in rows of the version that is rolled out, and unset in rows of the version
	// that it replaces.
	Canary bool
}

// Counts holds cumulative counts of outcomes.
type Counts struct {
	Requests, Failures uint64
	// Latencies counts responses of warm targets by latency bucket. Attempts still running well
	// past the route's usual latency are counted with the time elapsed until then, attempts overtaken
	// by a hedge with an estimate. Attempts whose client disconnected are left out, since they do
	// not show the version's latency.
	Latencies [bucketCount]uint64
}

// Outcomes counts the outcomes of attempts for services with a rollout. It is safe for
// concurrent use.
type Outcomes struct {
	mu   sync.Mutex
	rows map[Key]*Counts
}

// NewOutcomes returns Outcomes without any counts.
func NewOutcomes() *Outcomes { return &Outcomes{rows: map[Key]*Counts{}} }

// Probed implements forward.Observer. Load probes are not counted.
func (o *Outcomes) Probed(forward.Probe) {}

// AvailabilityChanged implements forward.Observer. Signals from targets are not counted.
func (o *Outcomes) AvailabilityChanged(string, forward.Availability) {}

// LimitIgnored implements forward.Observer.
func (o *Outcomes) LimitIgnored(string, quota.Statement) {}

// SlowAttempt implements forward.Observer. It counts an attempt that is still running well past the
// route's usual latency.
func (o *Outcomes) SlowAttempt(record *forward.Record, attempt *forward.Attempt) {
	if attempt.Order != 0 {
		o.record(keyOf(record, attempt), attempt)
	}
}

func keyOf(record *forward.Record, attempt *forward.Attempt) Key {
	return Key{record.Service, attempt.Order, record.Route, attempt.Canary}
}

// Ended implements forward.Observer. Attempts that were not executed are ignored, since they
// give no evidence on the version.
func (o *Outcomes) Ended(record *forward.Record) {
	for i := range record.Attempts {
		attempt := &record.Attempts[i]
		if attempt.Order == 0 || attempt.NotRun {
			continue
		}
		if attempt.Slow {
			o.recordSlowFailure(keyOf(record, attempt), attempt)
			continue
		}
		o.record(keyOf(record, attempt), attempt)
	}
}

// recordSlowFailure adds the failure of an attempt that SlowAttempt counted while it was running.
func (o *Outcomes) recordSlowFailure(key Key, attempt *forward.Attempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if row := o.rows[key]; row != nil && attempt.Failed {
		row.Failures++
	}
}

func (o *Outcomes) record(key Key, attempt *forward.Attempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	row := o.rows[key]
	if row == nil {
		row = &Counts{}
		o.rows[key] = row
	}
	row.Requests++
	if attempt.Failed {
		row.Failures++
		return
	}
	measured := attempt.Status != 0 || attempt.Superseded || attempt.Slow
	if measured && !attempt.Load.Cold && attempt.Latency > 0 {
		row.Latencies[bucketOf(expectedLatency(attempt))]++
	}
}

// overtakenFactor is the latency of an attempt that a hedge overtook, as a multiple of the time that it
// had taken until then: requests that are late already take about as long again.
const overtakenFactor = 2

// expectedLatency returns the latency of an attempt, or an estimate of it for an attempt that was
// given up.
func expectedLatency(attempt *forward.Attempt) time.Duration {
	if attempt.Superseded {
		return overtakenFactor * attempt.Latency
	}
	return attempt.Latency
}

// Rows returns a copy of the counts of the given orders and drops the counts of all others.
func (o *Outcomes) Rows(orders map[uint64]bool) map[Key]Counts {
	o.mu.Lock()
	defer o.mu.Unlock()
	rows := map[Key]Counts{}
	for key, counts := range o.rows {
		if !orders[key.Order] {
			delete(o.rows, key)
			continue
		}
		rows[key] = *counts
	}
	return rows
}

func bucketOf(latency time.Duration) int {
	millis := float64(latency) / float64(time.Millisecond)
	if millis < 1 {
		return 0
	}
	return min(bucketCount-1, int(math.Log(millis)/math.Log(bucketGrowth)))
}

// bucketMicros returns the latency that represents a bucket, in microseconds: the geometric
// mean of its limits.
func bucketMicros(bucket int) int64 {
	return int64(1000 * math.Pow(bucketGrowth, float64(bucket)+0.5))
}

// Since returns the difference from earlier counts of the same row.
func (c Counts) Since(earlier Counts) outcome.Counts {
	difference := outcome.Counts{
		Requests: int(c.Requests - earlier.Requests),
		Failures: int(c.Failures - earlier.Failures),
	}
	for bucket, count := range c.Latencies {
		added := int64(count - earlier.Latencies[bucket])
		if added <= 0 {
			continue
		}
		if difference.Histogram == nil {
			difference.Histogram = outcome.NewHistogram()
		}
		_ = difference.Histogram.RecordValues(bucketMicros(bucket), added) // cannot fail within the bounds
	}
	return difference
}

// Add returns the sum of two rows.
func (c Counts) Add(other Counts) Counts {
	c.Requests += other.Requests
	c.Failures += other.Failures
	for bucket := range c.Latencies {
		c.Latencies[bucket] += other.Latencies[bucket]
	}
	return c
}

// minQuantileSamples is the number of latencies that LatencyQuantile needs.
const minQuantileSamples = 20

// LatencyQuantile returns a quantile of the latencies, or 0 while there are fewer than
// minQuantileSamples.
func (c Counts) LatencyQuantile(quantile float64) time.Duration {
	var total, seen uint64
	for _, count := range c.Latencies {
		total += count
	}
	if total < minQuantileSamples {
		return 0
	}
	for bucket, count := range c.Latencies {
		seen += count
		if float64(seen) >= quantile*float64(total) {
			return time.Duration(bucketMicros(bucket)) * time.Microsecond
		}
	}
	return 0
}

// LatencyList returns the latency counts without the empty buckets at the end.
func (c Counts) LatencyList() []uint64 {
	list := slices.Clone(c.Latencies[:])
	for len(list) > 0 && list[len(list)-1] == 0 {
		list = list[:len(list)-1]
	}
	return list
}

// SetLatencies restores latency counts from a list made by LatencyList.
func (c *Counts) SetLatencies(list []uint64) {
	copy(c.Latencies[:], list)
}
