package targets

import (
	"sync/atomic"
	"time"

	"github.com/fireflychute/fireflychute/pkg/ramp"
)

const (
	// latencyWeight is the divisor of a sample's weight in the average latency: a
	// sudden slowdown shows after a few responses.
	latencyWeight = 8
	// failureRatio is the ratio to the reference latency that a failure counts as.
	// Without it a target that fails fast looks fast and idle and attracts traffic.
	failureRatio = 32
	// minFailureLatency is the lowest latency in microseconds that a failure counts as.
	minFailureLatency = 100_000
	// holdDuration is how long a node sends no new work to a target that broke a
	// connection, unless it is the target's owner. The target may have restarted
	// cold; within this time the owner has seen the new incarnation and told it.
	holdDuration = 300 * time.Millisecond
	// holdInterval is the shortest time between the starts of holds, so that
	// requests that make targets break connections cannot take out the service.
	holdInterval = 2 * time.Second
)

// processStart is the origin of the local monotonic time.
var processStart = time.Now()

// MonotonicNanos returns a time as local monotonic time: nanoseconds since the start of
// this process.
func MonotonicNanos(now time.Time) int64 {
	return now.Sub(processStart).Nanoseconds()
}

// Counters is the state of one target that traffic goroutines update. One value
// lives as long as the target is known and is shared by all snapshots.
type Counters struct {
	// InFlight is the number of this node's requests at the target.
	InFlight atomic.Int64
	// Sent counts the requests that were sent to the target.
	Sent atomic.Uint64
	// Succeeded counts the requests that the target served well.
	Succeeded atomic.Uint64
	// Slow counts the requests that the target served too slowly to count as well.
	Slow atomic.Uint64
	// Failed counts the requests that the target failed.
	Failed atomic.Uint64
	// Refused counts connections that were refused or could not be set up.
	Refused atomic.Uint64
	// Leaving stops new work as soon as any evidence of leaving is seen.
	Leaving atomic.Bool
	// LatencyMicros is a moving average of the response time in microseconds, in
	// which failures count as slow responses.
	LatencyMicros atomic.Int64
	// LastReport is the newest load report that a response carried.
	LastReport atomic.Pointer[Report]
	// holdStartNanos is the local monotonic time of the last hold's start.
	holdStartNanos atomic.Int64
	// isOwner tells that this node decides the target's ramp level.
	isOwner atomic.Bool
	// incarnation is the incarnation that the registry considers current.
	incarnation atomic.Pointer[string]
	// drainingIncarnation is the incarnation of the report that set Leaving.
	drainingIncarnation atomic.Pointer[string]
	// latencySumMicros and spentCount hold the latency of served requests since the last window.
	latencySumMicros atomic.Int64
	latencyCount     atomic.Int64
}

// RecordResponse counts a response. referenceMicros is the service's reference latency.
func (c *Counters) RecordResponse(latency time.Duration, failed bool, referenceMicros int64) {
	micros := latency.Microseconds()
	switch {
	case failed:
		c.Failed.Add(1)
		// One failure as the first response is to weigh as little as a later one.
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

// RecordBrokenConnection records at the local monotonic time nowNanos that the target closed or
// reset a connection with a request in flight.
func (c *Counters) RecordBrokenConnection(nowNanos int64) {
	holdStart := c.holdStartNanos.Load()
	if c.isOwner.Load() || holdStart != 0 && nowNanos-holdStart < holdInterval.Nanoseconds() {
		return
	}
	c.holdStartNanos.CompareAndSwap(holdStart, max(nowNanos, 1))
}

// IsOnHold tells whether the target gets no new work from this node at present,
// because it may have restarted.
func (c *Counters) IsOnHold(nowNanos int64) bool {
	holdStart := c.holdStartNanos.Load()
	return holdStart != 0 && nowNanos-holdStart < holdDuration.Nanoseconds()
}

// RecordReport stores a report that a response carried. Draining takes the target out
// at once, unless the report is of another incarnation than the current one, which
// the registry decides on.
func (c *Counters) RecordReport(report *Report) {
	report.SentBefore = c.Sent.Load()
	c.LastReport.Store(report)
	if report.Draining && c.isCurrent(report.Incarnation) {
		c.drainingIncarnation.Store(&report.Incarnation)
		c.Leaving.Store(true)
	}
}

// startIncarnation makes incarnation current and available. A late report of the previous
// incarnation can still set Leaving afterwards; flagged clears that.
func (c *Counters) startIncarnation(incarnation string) {
	c.incarnation.Store(&incarnation)
	c.drainingIncarnation.Store(nil)
	c.Leaving.Store(false)
}

// confirmLeaving tells whether traffic has set Leaving for the current incarnation.
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

func (c *Counters) isCurrent(incarnation string) bool {
	current := c.incarnation.Load()
	return current == nil || *current == "" || *current == incarnation
}

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

// Report is a load report with the local time at which it arrived.
type Report struct {
	InFlight    int
	Queued      int
	Served      uint64
	Incarnation string
	Version     string
	Draining    bool
	// ArrivedNanos is the local monotonic time of arrival in nanoseconds.
	ArrivedNanos int64
	// SentBefore is Counters.Sent when the report arrived.
	SentBefore uint64
}
