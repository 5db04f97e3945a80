package ramp

const (
	// initialLevel is the level of a cold target. A cold target fails under a load that a warm
	// one can handle.
	initialLevel = 1
	// fastRequestsPerUnit is the number of fast requests per unit of the level that are required
	// before the level doubles.
	fastRequestsPerUnit = 8
	// slowRatio is the ratio to the service's reference latency above which a request counts as
	// slow.
	slowRatio = 2
	// coldLatencyRatio is the ratio to the target's own baseline latency above which the target
	// counts as cold again, if its served rate is falling too.
	coldLatencyRatio = 3
	// fallingRatio is the ratio to the baseline served rate below which the rate is falling.
	fallingRatio = 0.7
	// averageWeight is the weight of the newest sample in the baseline averages.
	averageWeight = 0.1
	// minSampleSize is the number of served requests that a comparison with the baseline needs.
	// A single window of a node has only one or two requests to a target, and their latency is
	// often 3 times the average without any change at the target.
	minSampleSize = 32
	// minBaselineSamples is the number of samples that the baseline needs before it is used.
	minBaselineSamples = 5
)

// Window holds what one node observed of a target since the previous window. It does not include
// requests that were sent before the current level was set.
type Window struct {
	// Fast counts requests that were served and were not slow; see IsSlow.
	Fast int
	// Total counts the requests that the target served for all nodes according to its reports; 0
	// if it is unknown.
	Total int
	// Units is this node's share of the level.
	Units int
	// Slow counts requests that were served slowly.
	Slow int
	// Failed counts failed requests.
	Failed int
	// LatencyMicros is the mean latency in microseconds; 0 if no request was served.
	LatencyMicros int64
	// Seconds is the length of the window.
	Seconds float64
}

// Change is the effect of a window on a level.
type Change int

// Effects of a window on a level. ColdAgain is the return to the level of a cold target because the
// target slowed down under the same incarnation.
const (
	Unchanged Change = iota
	Raised
	Lowered
	ColdAgain
)

// Ramp controls the level of one incarnation of a target: the number of requests that may be in
// flight from all nodes together. It is not safe for concurrent use.
type Ramp struct {
	level    int
	fast     int // fast requests of this node at this level
	slow     int // slow requests of this node at this level
	total    int // requests of all nodes at this level
	baseline baseline
	recent   sample
}

// baseline holds the averages of earlier samples.
type baseline struct {
	latency float64 // microseconds
	rate    float64 // served requests per second
	samples int
}

// sample accumulates windows until they have enough requests for a comparison.
type sample struct {
	served     int
	latencySum float64 // microseconds
	seconds    float64
}

// New returns the ramp of a cold target.
func New() *Ramp {
	return &Ramp{level: initialLevel}
}

// IsSlow reports whether a request counts as slow. A reference of 0 means that the service's
// reference latency is unknown; then no request is slow.
func IsSlow(latencyMicros, referenceMicros int64) bool {
	return referenceMicros > 0 && latencyMicros > slowRatio*referenceMicros
}

// Level returns the number of requests that may be in flight from all nodes together.
func (r *Ramp) Level() int {
	return r.level
}

// Set adopts a level that another node decided on.
func (r *Ramp) Set(level int) {
	level = max(level, initialLevel)
	if level != r.level {
		r.startLevel(level)
	}
}

// Reset returns to the level of a cold target and discards the baseline.
func (r *Ramp) Reset() {
	*r = Ramp{level: initialLevel}
}

// Observe adjusts the level to one window. limit is the level of a warm target. Only the owner of
// the target raises the level. Time alone never raises it.
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

// hasRaiseEvidence reports whether enough fast requests were served at this level to raise it. The
// target's reports count the requests served for all nodes but not whether they were fast, so this
// node also needs enough fast requests for its own units. Up to half of the level in requests was
// sent before the level was set, hence the addition to the required total.
func (r *Ramp) hasRaiseEvidence(units int) bool {
	needed := fastRequestsPerUnit * r.level
	if r.fast >= needed {
		return true
	}
	return r.fast >= fastRequestsPerUnit*max(units, 1) && r.total >= needed+r.level/2
}

// startLevel sets the level and resets its counters.
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

// detectColdAgain adds the window to the current sample. Once the sample is large enough, it is
// compared with the baseline and, unless it shows a cold target, added to it.
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

func (b *baseline) add(latency, rate float64) {
	b.samples++
	weight := max(averageWeight, 1/float64(b.samples))
	b.latency += weight * (latency - b.latency)
	b.rate += weight * (rate - b.rate)
}
