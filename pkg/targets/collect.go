package targets

import (
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/ramp"
	"github.com/fireflychute/fireflychute/pkg/share"
)

// latencyDecayDivisor is the divisor of the part by which, at each collection, the
// average latency of a target without traffic shrinks. A target that is avoided for
// its latency is thereby tried again after some seconds. It shrinks to nothing and
// not to the service's reference, because a fleet that is much faster than the
// reference would go on avoiding the target.
const latencyDecayDivisor = 64

// Collect reads the counters, steps the ramps and returns the facts that changed
// since the last call, to be published. nodes is the counted fleet.
func (r *Registry) Collect(now time.Time, nodes []string, services map[string]api.ServiceSpec) []Fact {
	facts := []Fact{}
	r.setNodes(nodes)
	for _, address := range r.addresses {
		s := r.targets[address]
		spec := services[s.service]
		s.warmLevel = spec.Slots + spec.Queue
		s.applyLastReport()
		rank := r.rankOf(s)
		owner := rank == 0
		s.counters.isOwner.Store(owner)
		window := s.window(now, spec)
		window.Units = share.UnitsForRank(rank, len(nodes), s.units())
		s.stepRamp(window, owner)
		facts = append(facts, s.flushFacts()...)
	}
	return facts
}

func (s *state) applyLastReport() {
	report := s.counters.LastReport.Load()
	if report != nil && report != s.previous.report {
		s.previous.report = report
		s.applyReport(*report, ReasonHeader)
	}
	if !s.isLeaving() && s.counters.confirmLeaving() {
		s.markLeaving(ReasonHeader)
	}
}

// window returns what happened since the previous collection.
func (s *state) window(now time.Time, spec api.ServiceSpec) ramp.Window {
	c := s.counters
	succeeded, slow, failed := c.Succeeded.Load(), c.Slow.Load(), c.Failed.Load()
	window := ramp.Window{
		Fast: int(succeeded - s.previous.succeeded), Slow: int(slow - s.previous.slow), Failed: int(failed - s.previous.failed),
		Seconds: now.Sub(s.previous.at).Seconds(),
	}
	if s.previous.at.IsZero() {
		window.Seconds = 0
	}
	s.previous.at, s.previous.succeeded, s.previous.slow, s.previous.failed = now, succeeded, slow, failed
	latencyCount, latencySum := c.latencyCount.Swap(0), c.latencySumMicros.Swap(0)
	if latencyCount > 0 {
		window.LatencyMicros = latencySum / latencyCount
	}
	window.Total = s.reportedServedDelta()
	if window.Fast+window.Slow+window.Failed == 0 && c.InFlight.Load() == 0 {
		s.decayLatency()
	}
	s.excludeCarriedOver(&window)
	return window
}

// reportedServedDelta returns what the target reports to have served since the last call.
func (s *state) reportedServedDelta() int {
	report := s.previous.report
	if report == nil || report.Incarnation != s.incarnation {
		return 0
	}
	previous, hasPrevious := s.previous.served, s.previous.servedIncarnation == s.incarnation
	if hasPrevious && report.Served <= previous {
		return 0 // reports can overtake each other
	}
	s.previous.served, s.previous.servedIncarnation = report.Served, s.incarnation
	if !hasPrevious {
		return 0
	}
	return int(min(report.Served-previous, maxReportedCount))
}

// excludeCarriedOver takes requests that were sent before the level began out of the
// evidence for raising it.
func (s *state) excludeCarriedOver(window *ramp.Window) {
	excluded := min(s.carriedOver, window.Fast)
	window.Fast -= excluded
	s.carriedOver -= excluded
}

func (s *state) decayLatency() {
	old := s.counters.LatencyMicros.Load()
	s.counters.LatencyMicros.CompareAndSwap(old, old-old/latencyDecayDivisor)
}

func (s *state) stepRamp(window ramp.Window, owner bool) {
	if s.warmLevel == 0 {
		return
	}
	move := s.level.Observe(window, s.warmLevel, owner)
	switch move {
	case ramp.Unchanged:
		return
	case ramp.Raised:
		s.sequence++
	case ramp.Lowered, ramp.ColdAgain:
		s.sequence += lowerSequenceStep
	}
	s.carriedOver = int(s.counters.InFlight.Load())
	s.rampFactPending = true
}
