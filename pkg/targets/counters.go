package targets

import (
	"sync/atomic"
	"time"

	"github.com/fireflychute/fireflychute/pkg/ramp"
)

const (
	// latencyWeight is the divisor of a sample's weight in the average latency, small enough for
	// a sudden slowdown to show after a few responses.
	latencyWeight = 8
	// failureRatio is the lowest latency that a failure counts as, as a multiple of the reference
	// latency. Without it a target that fails fast appears fast and idle and attracts traffic.
	failureRatio = 32
	// minFailureLatency is the lowest latency in microseconds that a failure counts as.
	minFailureLatency = 100_000
	// holdDuration is how long a node sends no new work to a target that broke a connection,
	// unless the node is the target's owner. The target may have restarted cold; within this
	// time the owner detects the new incarnation and publishes it.
	holdDuration = 300 * time.Millisecond
	// holdInterval is the shortest time between the starts of two holds, so that requests that
	// make targets break connections cannot make the whole service unavailable.
	holdInterval = 2 * time.Second
)

// processStart is the origin of the local monotonic time.
var processStart = time.Now()

// MonotonicNanos converts a time to local monotonic time: nanoseconds since the start of this
// process.
func MonotonicNanos(now time.Time) int64 {
	return now.Sub(processStart).Nanoseconds()
}

// Counters holds the state of one target that traffic goroutines update. All snapshots share one
// value, which the registry keeps until it removes the target.
type Counters struct {
	// InFlight is the number of this node's requests at the target.
	InFlight atomic.Int64
	// Sent counts the requests that this node sent to the target.
	Sent atomic.Uint64
	// Succeeded counts the requests that the target served and that were not slow.
	Succeeded atomic.Uint64
	// Slow counts the requests that the target served slowly, as defined by ramp.IsSlow.
	Slow atomic.Uint64
	// Failed counts the requests that failed at the target.
	Failed atomic.Uint64
	// Refused counts connections that the target refused.
	Refused atomic.Uint64
	// Leaving stops new work as soon as any signal shows that the target is leaving.
	Leaving atomic.Bool
	// LatencyMicros is an exponentially weighted moving average of the response time in
	// microseconds, in which failures count as slow responses.
	LatencyMicros atomic.Int64
	// LastReport is the last load report received in a response header.
	LastReport atomic.Pointer[Report]
	// holdStartNanos is the local monotonic time at which the last hold started; 0 without one.
	holdStartNanos atomic.Int64
	// isOwner is set while this node controls the target's ramp level.
	isOwner atomic.Bool
	// incarnation is the current incarnation according to the registry.
	incarnation atomic.Pointer[string]
	// drainingIncarnation is the incarnation whose report set Leaving; nil when a new incarnation
	// starts.
	drainingIncarnation atomic.Pointer[string]
	// latencySumMicros and latencyCount accumulate the latency of served requests since the last
	// window.
	latencySumMicros atomic.Int64
	latencyCount     atomic.Int64
}

// RecordResponse records the outcome and latency of one request. referenceMicros is the service's
// reference latency in microseconds.
func (c *Counters) RecordResponse(latency time.Duration, failed bool, referenceMicros int64) {
	micros := latency.Microseconds()
	switch {
	case failed:
		c.Failed.Add(1)
		// A failure of the first request must not weigh more in the average than a later one, so
		// the average starts at the reference.
		c.LatencyMicros.CompareAndSwap(0, max(micros, referenceMicros))
		micros = max(micros, minFailureLatency, failureRatio*referenceMicros)
	case ramp.IsSlow(micros, referenceMicros):
		c.Slow.Add(1)
	default:
		c.Succeeded.Add(1)
	}
	if !failed {
		c.latencySumMicros.Add(micros)
		c.latencyCount.Add(1)
	}
	c.updateLatency(micros)
}

// RecordBrokenConnection records that the target closed or reset a connection with a request in
// flight, and holds new work unless this node is the owner or a hold started less than
// holdInterval ago. nowNanos is the local monotonic time.
func (c *Counters) RecordBrokenConnection(nowNanos int64) {
	holdStart := c.holdStartNanos.Load()
	if c.isOwner.Load() || holdStart != 0 && nowNanos-holdStart < holdInterval.Nanoseconds() {
		return
	}
	c.holdStartNanos.CompareAndSwap(holdStart, max(nowNanos, 1))
}

// IsOnHold reports whether this node sends the target no new work at present, because the target
// may have restarted.
func (c *Counters) IsOnHold(nowNanos int64) bool {
	holdStart := c.holdStartNanos.Load()
	return holdStart != 0 && nowNanos-holdStart < holdDuration.Nanoseconds()
}

// RecordReport stores a load report from a response header. A draining report of the current
// incarnation stops new work at once; reports of other incarnations are left to the registry.
func (c *Counters) RecordReport(report *Report) {
	report.SentBefore = c.Sent.Load()
	c.LastReport.Store(report)
	if report.Draining && c.isCurrent(report.Incarnation) {
		c.drainingIncarnation.Store(&report.Incarnation)
		c.Leaving.Store(true)
	}
}

// startIncarnation makes incarnation current and available. A delayed report of the previous
// incarnation can still set Leaving afterwards; confirmLeaving clears that.
func (c *Counters) startIncarnation(incarnation string) {
	c.incarnation.Store(&incarnation)
	c.drainingIncarnation.Store(nil)
	c.Leaving.Store(false)
}

// confirmLeaving reports whether Leaving is set for the current incarnation, and clears it when
// it was set by a report of another one.
func (c *Counters) confirmLeaving() bool {
	if !c.Leaving.Load() {
		return false
	}
	drainingIncarnation := c.drainingIncarnation.Load()
	if drainingIncarnation == nil || c.isCurrent(*drainingIncarnation) {
		return true
	}
	c.Leaving.Store(false)
	return false
}

// isCurrent reports whether incarnation is the current one. While the current one is not known,
// every incarnation counts as current.
func (c *Counters) isCurrent(incarnation string) bool {
	current := c.incarnation.Load()
	return current == nil || *current == "" || *current == incarnation
}

// updateLatency adds a sample to the moving average. The first sample sets it.
func (c *Counters) updateLatency(micros int64) {
	micros = max(micros, 1)
	for {
		old := c.LatencyMicros.Load()
		next := micros
		if old > 0 {
			next = max(old+(micros-old)/latencyWeight, 1)
		}
		if c.LatencyMicros.CompareAndSwap(old, next) {
			return
		}
	}
}

// Report is a target's load report, with the local time of its arrival.
type Report struct {
	InFlight    int
	Queued      int
	Served      uint64
	Incarnation string
	Version     string
	Draining    bool
	// ArrivedNanos is the local monotonic time of arrival in nanoseconds.
	ArrivedNanos int64
	// SentBefore is the value of Counters.Sent when the report arrived.
	SentBefore uint64
}
