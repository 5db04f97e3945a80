package targets

import (
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/ramp"
	"github.com/fireflychute/fireflychute/pkg/share"
)

// forgetLatency is the divisor of the part by which, at each collection, the
// average latency of a target without traffic shrinks. A target that is avoided for
// its latency is thereby tried again after some seconds. It shrinks to nothing and
// not to the service's reference, because a fleet that is much faster than the
// reference would go on avoiding the target.
const forgetLatency = 64

// Collect reads the counters, steps the ramps and returns the facts that changed
// since the last call, to be published. nodes is the counted fleet.
func (r *Registry) Collect(now time.Time, nodes []string, services map[string]api.ServiceSpec) []Fact {
	facts := []Fact{}
	r.setNodes(nodes)
	for _, address := range r.order {
		s := r.targets[address]
		spec := services[s.service]
		s.limit = spec.Slots + spec.Queue
		s.takeReport()
		rank := r.rankOf(s)
		owner := rank == 0
		s.counters.owner.Store(owner)
		window := s.window(now, spec)
		window.Units = share.UnitsForRank(rank, len(nodes), s.units())
		s.step(window, owner)
		facts = append(facts, s.takeFacts()...)
	}
	return facts
}

func (s *state) takeReport() {
	report := s.counters.LastReport.Load()
	if report != nil && report != s.seen.report {
		s.seen.report = report
		s.report(*report, ReasonHeader)
	}
	if !s.leaving() && s.counters.flagged() {
		s.leave(ReasonHeader)
	}
}

// window returns what happened since the previous collection.
func (s *state) window(now time.Time, spec api.ServiceSpec) ramp.Window {
	c := s.counters
	well, slow, failed := c.Succeeded.Load(), c.Slow.Load(), c.Failed.Load()
	window := ramp.Window{
		Fast: int(well - s.seen.well), Slow: int(slow - s.seen.slow), Failed: int(failed - s.seen.failed),
		Seconds: now.Sub(s.seen.at).Seconds(),
	}
	if s.seen.at.IsZero() {
		window.Seconds = 0
	}
	s.seen.at, s.seen.well, s.seen.slow, s.seen.failed = now, well, slow, failed
	served, spent := c.spentCount.Swap(0), c.spentSum.Swap(0)
	if served > 0 {
		window.LatencyMicros = spent / served
	}
	window.Total = s.servedInAll()
	if window.Fast+window.Slow+window.Failed == 0 && c.InFlight.Load() == 0 {
		s.forgetLatency()
	}
	s.skipCarried(&window)
	return window
}

// servedInAll returns what the target reports to have served since the last call.
func (s *state) servedInAll() int {
	report := s.seen.report
	if report == nil || report.Incarnation != s.incarnation {
		return 0
	}
	before, known := s.seen.served, s.seen.servedBy == s.incarnation
	if known && report.Served <= before {
		return 0 // reports can overtake each other
	}
	s.seen.served, s.seen.servedBy = report.Served, s.incarnation
	if !known {
		return 0
	}
	return int(min(report.Served-before, maxReportedCount))
}

// skipCarried takes requests that were sent before the level began out of the
// evidence for raising it.
func (s *state) skipCarried(window *ramp.Window) {
	skipped := min(s.carried, window.Fast)
	window.Fast -= skipped
	s.carried -= skipped
}

func (s *state) forgetLatency() {
	old := s.counters.LatencyMicros.Load()
	s.counters.LatencyMicros.CompareAndSwap(old, old-old/forgetLatency)
}

func (s *state) step(window ramp.Window, owner bool) {
	if s.limit == 0 {
		return
	}
	move := s.level.Observe(window, s.limit, owner)
	switch move {
	case ramp.Unchanged:
		return
	case ramp.Raised:
		s.sequence++
	case ramp.Lowered, ramp.ColdAgain:
		s.sequence += lowerStep
	}
	s.carried = int(s.counters.InFlight.Load())
	s.rampChanged = true
}
