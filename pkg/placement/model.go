package placement

import (
	"sync"
	"time"
)

const (
	// modelWeight is the weight of the latest request in what a model has learned.
	modelWeight = 0.05
	// serviceTimeSamples is how many of the latest requests tell a route's work.
	serviceTimeSamples = 15
	// Factors that are assumed until requests have shown them.
	initialBusyFactor = 1.7
	initialColdFactor = 2.0
	// slowFactor is how many times the usual slowness a slow target has.
	slowFactor = 1.5
	// Bounds of the learned factors. Above them single slow requests would make a
	// target look unusable.
	minFactor, maxFactor = 1.0, 5.0
)

// Model predicts how long requests of one route take at a target, from what earlier
// ones took at targets with known load. Requests to be served within an objective
// need the prediction in time, not only the order of the targets.
type Model struct {
	mu sync.Mutex
	// samples are the latest times at an idle, ordinary target in seconds, work their
	// median, 0 while unknown. A mean would follow the few requests whose target turned
	// slow after it had told its load.
	samples                slidingWindow[float64]
	serviceTime            float64
	busyFactor, coldFactor float64
	// meanSlowdown is what targets tell on average, 0 while unknown.
	meanSlowdown float64
}

// NewModel returns a model that has seen no request.
func NewModel() *Model {
	return &Model{samples: slidingWindow[float64]{size: serviceTimeSamples}, busyFactor: initialBusyFactor, coldFactor: initialColdFactor}
}

// ObserveLatency takes in what a request took at a candidate. A request that had to wait for a
// slot says little of the work, so it is left out.
func (m *Model) ObserveLatency(c Candidate, latency time.Duration) {
	if c.Slowdown <= 0 || latency <= 0 || c.queued() > 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	normalized := latency.Seconds() / c.Slowdown
	switch {
	case c.Cold && c.nearlyFull():
	case c.Cold:
		m.coldFactor = updateFactor(m.coldFactor, normalized, m.serviceTime)
	case c.nearlyFull():
		m.busyFactor = updateFactor(m.busyFactor, normalized, m.serviceTime)
	default:
		m.samples.add(normalized)
		m.serviceTime = m.samples.quantile(0.5)
	}
}

// updateFactor returns a factor after a request that took seconds where work is usual.
func updateFactor(factor, seconds, serviceTime float64) float64 {
	if serviceTime == 0 {
		return factor
	}
	factor += modelWeight * (seconds/serviceTime - factor)
	return min(max(factor, minFactor), maxFactor)
}

// ObserveLoad takes in the load that a target told.
func (m *Model) ObserveLoad(c Candidate) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.meanSlowdown == 0 {
		m.meanSlowdown = c.Slowdown
	}
	m.meanSlowdown += modelWeight * (c.Slowdown - m.meanSlowdown)
}

// IsSlow tells whether a target is much slower than the others usually are. Work that
// begins there holds a slot several times as long, and the next moment it is quick again.
func (m *Model) IsSlow(c Candidate) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.meanSlowdown > 0 && c.Slowdown > slowFactor*m.meanSlowdown
}

// ServiceTime is the time that a request takes at an idle, ordinary target, 0 while unknown.
func (m *Model) ServiceTime() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.serviceTime * float64(time.Second))
}

// RelativeLatency estimates how long a request takes at the candidate, 1 at an idle target.
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

// Cost is the cost by which candidates are compared: the estimated time, raised
// where requests fail and where bytes pass between data centres.
func (m *Model) Cost(c Candidate) float64 {
	cost := m.RelativeLatency(c)
	if !c.Local {
		cost *= remotePenalty
	}
	return cost * (1 + failurePenalty*c.FailureRate)
}
