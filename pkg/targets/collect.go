package targets

import (
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/ramp"
	"github.com/fireflychute/fireflychute/pkg/share"
)

// latencyDecayDivisor sets the decay of the average latency of a target without traffic: each
// collection subtracts 1/latencyDecayDivisor of it. A target that is avoided because of its
// latency therefore receives requests again after some seconds. The average decays towards zero
// instead of the service's reference latency, because a fleet that is much faster than the
// reference would otherwise keep avoiding the target.
const latencyDecayDivisor = 64

// Collect reads the counters, steps the ramps and returns the facts that changed since the last
// call and have to be published. nodes are the counted nodes of the fleet.
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

// applyLastReport applies the newest report from traffic, once, and marks the target as leaving
// when traffic has already stopped new work for the current incarnation.
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

// window returns the requests and the mean latency since the previous collection.
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

// reportedServedDelta returns how many more requests the target reports as served than at the
// last call. It is 0 without two reports of the current incarnation.
func (s *state) reportedServedDelta() int {
	report := s.previous.report
	if report == nil || report.Incarnation != s.incarnation {
		return 0
	}
	previous, hasPrevious := s.previous.served, s.previous.servedIncarnation == s.incarnation
	if hasPrevious && report.Served <= previous {
		return 0 // reports can arrive out of order
	}
	s.previous.served, s.previous.servedIncarnation = report.Served, s.incarnation
	if !hasPrevious {
		return 0
	}
	return int(min(report.Served-previous, maxReportedCount))
}

// excludeCarriedOver subtracts requests that were sent before the current level was set, so that
// they do not count as evidence for raising it.
func (s *state) excludeCarriedOver(window *ramp.Window) {
	excluded := min(s.carriedOver, window.Fast)
	window.Fast -= excluded
	s.carriedOver -= excluded
}

// decayLatency reduces the average latency of an idle target. A concurrent update by traffic
// takes precedence.
func (s *state) decayLatency() {
	old := s.counters.LatencyMicros.Load()
	s.counters.LatencyMicros.CompareAndSwap(old, old-old/latencyDecayDivisor)
}

// stepRamp adjusts the ramp level by the evidence of the window. Only the target's owner may
// raise the level.
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
