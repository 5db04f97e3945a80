package placement

import (
	"sync"
	"time"
)

const (
	// modelWeight is the weight of the latest sample in the moving averages.
	modelWeight = 0.05
	// serviceTimeSamples is the number of latest requests that give a route's service time.
	serviceTimeSamples = 15
	// Factors before any request was measured.
	initialBusyFactor = 1.7
	initialColdFactor = 2.0
	// slowFactor is the multiple of the mean slowdown above which a target is slow.
	slowFactor = 1.5
	// Bounds of the estimated factors. Without the upper one, single slow requests would
	// make a target look unusable.
	minFactor, maxFactor = 1.0, 5.0
)

// Model predicts how long requests of one route take at a target, from the latencies of
// earlier requests at targets with known load. Latency objectives need a prediction in units
// of time; a ranking of the targets is not enough.
type Model struct {
	mu sync.Mutex
	// samples are the latest latencies in seconds, normalized to an idle, ordinary target;
	// serviceTime is their median, 0 while unknown. A mean would be distorted by the few
	// requests whose target became slow after it had reported its load.
	samples                slidingWindow[float64]
	serviceTime            float64
	busyFactor, coldFactor float64
	// meanSlowdown is the moving average of the reported slowdowns, 0 while unknown.
	meanSlowdown float64
}

// NewModel returns a model without samples.
func NewModel() *Model {
	return &Model{samples: slidingWindow[float64]{size: serviceTimeSamples}, busyFactor: initialBusyFactor, coldFactor: initialColdFactor}
}

// ObserveLatency records the latency of a request at a candidate. Requests that had to wait
// for a slot are ignored, since their latency says little about the service time.
func (m *Model) ObserveLatency(c Candidate, latency time.Duration) {
	if c.Slowdown <= 0 || latency <= 0 || c.queued() > 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	normalized := latency.Seconds() / c.Slowdown
	switch {
	case c.Cold && c.nearlyFull(): // the effects of both factors cannot be separated
	case c.Cold:
		m.coldFactor = updateFactor(m.coldFactor, normalized, m.serviceTime)
	case c.nearlyFull():
		m.busyFactor = updateFactor(m.busyFactor, normalized, m.serviceTime)
	default:
		m.samples.add(normalized)
		m.serviceTime = m.samples.quantile(0.5)
	}
}

// updateFactor returns a factor updated by a request that took seconds instead of the usual
// service time, also in seconds.
func updateFactor(factor, seconds, serviceTime float64) float64 {
	if serviceTime == 0 {
		return factor
	}
	factor += modelWeight * (seconds/serviceTime - factor)
	return min(max(factor, minFactor), maxFactor)
}

// ObserveLoad records the load that a target reported.
func (m *Model) ObserveLoad(c Candidate) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.meanSlowdown == 0 {
		m.meanSlowdown = c.Slowdown
	}
	m.meanSlowdown += modelWeight * (c.Slowdown - m.meanSlowdown)
}

// IsSlow reports whether a target is much slower than the targets are on average. A request
// started there holds a slot several times as long, although such slowdowns pass quickly.
func (m *Model) IsSlow(c Candidate) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.meanSlowdown > 0 && c.Slowdown > slowFactor*m.meanSlowdown
}

// ServiceTime returns the latency of a request at an idle, ordinary target, 0 while unknown.
func (m *Model) ServiceTime() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.serviceTime * float64(time.Second))
}

// RelativeLatency estimates the latency of a request at the candidate as a multiple of the
// service time.
func (m *Model) RelativeLatency(c Candidate) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	relative := c.Slowdown
	if c.nearlyFull() {
		relative *= m.busyFactor
	}
	if queued := c.queued(); queued > 0 {
		relative *= 1 + float64(queued)/float64(c.slots())
	}
	if c.Cold {
		relative *= m.coldFactor
	}
	return relative
}

// Cost returns the value by which candidates are compared: the relative latency, raised
// for targets that fail requests and for targets in other data centres.
func (m *Model) Cost(c Candidate) float64 {
	cost := m.RelativeLatency(c)
	if !c.Local {
		cost *= remotePenalty
	}
	return cost * (1 + failurePenalty*c.FailureRate)
}
