package placement

import (
	"sync"
	"time"
)

const (
	// learnWeight is the weight of the latest request in what a model has learned.
	learnWeight = 0.05
	// keptWork is how many of the latest requests tell a route's work.
	keptWork = 15
	// Factors that are assumed until requests have shown them.
	firstBusyFactor = 1.7
	firstColdFactor = 2.0
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
	// recent are the latest times at an idle, ordinary target in seconds, work their
	// median, 0 while unknown. A mean would follow the few requests whose target turned
	// slow after it had told its load.
	recent     recent[float64]
	work       float64
	busy, cold float64
	// slowness is what targets tell on average, 0 while unknown.
	slowness float64
}

// NewModel returns a model that has seen no request.
func NewModel() *Model {
	return &Model{recent: recent[float64]{size: keptWork}, busy: firstBusyFactor, cold: firstColdFactor}
}

// Learn takes in what a request took at a candidate. A request that had to wait for a
// slot says little of the work, so it is left out.
func (m *Model) Learn(c Candidate, latency time.Duration) {
	if c.Slowness <= 0 || latency <= 0 || c.queued() > 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	plain := latency.Seconds() / c.Slowness
	switch {
	case c.Cold && c.nearlyFull():
	case c.Cold:
		m.cold = learned(m.cold, plain, m.work)
	case c.nearlyFull():
		m.busy = learned(m.busy, plain, m.work)
	default:
		m.recent.add(plain)
		m.work = m.recent.quantile(0.5)
	}
}

// learned returns a factor after a request that took seconds where work is usual.
func learned(factor, seconds, work float64) float64 {
	if work == 0 {
		return factor
	}
	factor += learnWeight * (seconds/work - factor)
	return min(max(factor, minFactor), maxFactor)
}

// Heard takes in the load that a target told.
func (m *Model) Heard(c Candidate) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.slowness == 0 {
		m.slowness = c.Slowness
	}
	m.slowness += learnWeight * (c.Slowness - m.slowness)
}

// IsSlow tells whether a target is much slower than the others usually are. Work that
// begins there holds a slot several times as long, and the next moment it is quick again.
func (m *Model) IsSlow(c Candidate) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.slowness > 0 && c.Slowness > slowFactor*m.slowness
}

// Work is the time that a request takes at an idle, ordinary target, 0 while unknown.
func (m *Model) Work() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.work * float64(time.Second))
}

// Cost estimates how long a request takes at the candidate, 1 at an idle target.
func (m *Model) Cost(c Candidate) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	cost := c.Slowness
	if c.nearlyFull() {
		cost *= m.busy
	}
	if queued := c.queued(); queued > 0 {
		cost *= 1 + float64(queued)/float64(c.slots())
	}
	if c.Cold {
		cost *= m.cold
	}
	return cost
}

// Weigh is the cost by which candidates are compared: the estimated time, raised
// where requests fail and where bytes pass between data centres.
func (m *Model) Weigh(c Candidate) float64 {
	cost := m.Cost(c)
	if !c.Local {
		cost *= localGain
	}
	return cost * (1 + failureCost*c.FailureRate)
}
