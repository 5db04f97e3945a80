package ramp

const (
	// initialLevel is the level of a cold target. A cold target fails under load
	// that a warm one bears.
	initialLevel = 1
	// fastRequestsPerUnit is how many requests per unit of the level are to be served
	// well before the level doubles.
	fastRequestsPerUnit = 8
	// slowRatio is the ratio to the service's reference latency above which a
	// request does not count as served well.
	slowRatio = 2
	// coldLatencyRatio is the ratio to the target's own past latency that, with a
	// falling served rate, shows that the target is cold again.
	coldLatencyRatio = 3
	// fallingRatio is the ratio to the past served rate below which it is falling.
	fallingRatio = 0.7
	// averageWeight is the weight of the newest window in the past averages.
	averageWeight = 0.1
	// minSampleSize is how many served requests a comparison with the past rests on.
	// Single windows of a node hold one or two requests of a target, whose latency
	// is often 3 times the average without any change at the target.
	minSampleSize = 32
	// minBaselineSamples is how many samples the past averages need before they are used.
	minBaselineSamples = 5
)

// Window is what one node saw of a target since the previous window. Requests
// that were sent before the present level began are not in it.
type Window struct {
	// Fast counts requests that were served and were not slow.
	Fast int
	// Total counts the requests that the target served to all nodes according to its
	// reports; 0 when it is unknown.
	Total int
	// Units is this node's part of the level.
	Units int
	// Slow counts requests that were served slowly.
	Slow int
	// Failed counts failed requests.
	Failed int
	// LatencyMicros is the mean latency in microseconds; 0 when nothing was served.
	LatencyMicros int64
	// Seconds is the length of the window.
	Seconds float64
}

// Change is the effect of a window on the level.
type Change int

// Effects of a window.
const (
	Unchanged Change = iota
	Raised
	Lowered
	ColdAgain
)

// Ramp is the level of one incarnation of a target.
type Ramp struct {
	level    int
	fast     int // well, by this node, at this level
	slow     int // by this node, at this level
	total    int // by all nodes at this level
	baseline baseline
	recent   sample
}

// baseline has the averages of earlier samples.
type baseline struct {
	latency float64 // microseconds
	rate    float64 // served requests per second
	samples int
}

// sample joins windows until they hold enough requests.
type sample struct {
	served     int
	latencySum float64 // microseconds
	seconds    float64
}

// New returns the ramp of a cold target.
func New() *Ramp {
	return &Ramp{level: initialLevel}
}

// IsSlow tells whether a request is too slow to count as served well. A
// reference of 0 means that none is known.
func IsSlow(latencyMicros, referenceMicros int64) bool {
	return referenceMicros > 0 && latencyMicros > slowRatio*referenceMicros
}

// Level returns the requests that may be in flight from all nodes together.
func (r *Ramp) Level() int {
	return r.level
}

// Set adopts a level that another node decided.
func (r *Ramp) Set(level int) {
	level = max(level, initialLevel)
	if level != r.level {
		r.startLevel(level)
	}
}

// Reset returns to the level of a cold target and forgets the past.
func (r *Ramp) Reset() {
	*r = Ramp{level: initialLevel}
}

// Observe moves the level by the evidence of one window. limit is the level of a
// warm target. Only the owner may raise. Time alone never raises the level.
func (r *Ramp) Observe(window Window, limit int, owner bool) Change {
	if r.detectColdAgain(window) {
		r.Reset()
		return ColdAgain
	}
	if r.level >= limit {
		return Unchanged
	}
	if window.Failed > 0 {
		return r.lower(initialLevel)
	}
	r.fast += window.Fast
	r.slow += window.Slow
	if r.slow > r.fast && r.slow+r.fast >= fastRequestsPerUnit {
		return r.lower(r.level / 2)
	}
	r.total += window.Total
	if !owner || !r.hasRaiseEvidence(window.Units) {
		return Unchanged
	}
	r.startLevel(min(r.level*2, limit))
	return Raised
}

// hasRaiseEvidence tells whether the level was served well. The reports tell how much all
// nodes together were served, but not how well; so this node's own units must have
// been served well too. Up to half of the level was sent before the level began.
func (r *Ramp) hasRaiseEvidence(units int) bool {
	needed := fastRequestsPerUnit * r.level
	if r.fast >= needed {
		return true
	}
	return r.fast >= fastRequestsPerUnit*max(units, 1) && r.total >= needed+r.level/2
}

// startLevel starts a level without evidence.
func (r *Ramp) startLevel(level int) {
	r.level = level
	r.fast, r.slow, r.total = 0, 0, 0
}

func (r *Ramp) lower(level int) Change {
	before := r.level
	r.startLevel(max(level, initialLevel))
	if r.level == before {
		return Unchanged
	}
	return Lowered
}

// detectColdAgain adds the window to the present sample and, when that is large enough,
// compares it with the past.
func (r *Ramp) detectColdAgain(window Window) bool {
	served := window.Fast + window.Slow
	r.recent.served += served
	r.recent.latencySum += float64(served) * float64(window.LatencyMicros)
	r.recent.seconds += window.Seconds
	if r.recent.served < minSampleSize || r.recent.seconds <= 0 {
		return false
	}
	latency, rate := r.recent.latencySum/float64(r.recent.served), float64(r.recent.served)/r.recent.seconds
	r.recent = sample{}
	if r.baseline.samples >= minBaselineSamples && latency > coldLatencyRatio*r.baseline.latency && rate < fallingRatio*r.baseline.rate {
		return true
	}
	r.baseline.add(latency, rate)
	return false
}

func (p *baseline) add(latency, rate float64) {
	p.samples++
	weight := max(averageWeight, 1/float64(p.samples))
	p.latency += weight * (latency - p.latency)
	p.rate += weight * (rate - p.rate)
}
