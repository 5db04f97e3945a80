package targets

import (
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
)

const (
	// probeOperations is the cost of a probe: the connection and the request.
	probeOperations = 2
	// routineProbers is how many of the highest-ranked nodes probe without cause.
	routineProbers = 2
	// routineShare is the part of the budget for probes without cause; the rest is
	// for probes after a refused connection, divided over all nodes.
	routineShare = 0.5
	// confirmInterval is the shortest time between probes after refused connections.
	confirmInterval = time.Second
)

// ProbeReason says why a target is probed.
type ProbeReason string

// Reasons of probes.
const (
	ProbeRoutine ProbeReason = "no traffic"
	ProbeConfirm ProbeReason = "refused connection"
)

// Probe is a probe to be made now. It opens a connection of its own.
type Probe struct {
	Address string
	Service string
	Reason  ProbeReason
	// Operations is the cost within the measuring budget.
	Operations int
}

// ProbeResult is the outcome of a probe.
type ProbeResult struct {
	Address string
	// Failed tells that no valid answer arrived in time.
	Failed bool
	// Refused tells that the target refused the connection.
	Refused bool
	// Report is valid unless the probe failed.
	Report Report
}

// probePlanner keeps a node's part of the measuring budget of one target. The buckets
// start empty, so that restarts of nodes do not exceed the budget.
type probePlanner struct {
	refilledAt    time.Time
	routineBudget float64 // operations
	confirmBudget float64
	confirmedAt   time.Time
	suspect       bool // a connection was refused since the last answer
}

// SetExpectedFleetSize sets the size of the fleet last heard from a peer. While the counted
// fleet is smaller, the node does not know its rank and makes no routine probes.
func (r *Registry) SetExpectedFleetSize(size int) {
	r.expectedFleetSize = size
}

// DueProbes returns the probes that are due now. All nodes of the counted fleet
// together stay within the measuring budget of each target: over any time, each
// node spends at most its rate times this time plus one probe of each kind.
func (r *Registry) DueProbes(now time.Time, nodes []string, services map[string]api.ServiceSpec) []Probe {
	probes := []Probe{}
	r.setNodes(nodes)
	for _, address := range r.addresses {
		s := r.targets[address]
		s.refillProbeBudget(now, services[s.service].MeasuringBudget, r.rankOf(s), len(nodes), r.expectedFleetSize)
		reason, due := s.nextProbe(now)
		if !due {
			continue
		}
		probes = append(probes, Probe{Address: address, Service: s.service, Reason: reason, Operations: probeOperations})
	}
	return probes
}

func (s *state) refillProbeBudget(now time.Time, budget float64, rank, counted, expected int) {
	p := &s.planner
	elapsed := now.Sub(p.refilledAt).Seconds()
	if p.refilledAt.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	p.refilledAt = now
	fleet := max(counted, expected, 1)
	confirmRate := budget * (1 - routineShare) / float64(fleet)
	p.confirmBudget = min(p.confirmBudget+elapsed*confirmRate, probeOperations)
	if rank >= routineProbers || counted < expected {
		p.routineBudget = 0
		return
	}
	routineRate := budget * routineShare / routineProbers
	p.routineBudget = min(p.routineBudget+elapsed*routineRate, probeOperations)
}

// nextProbe decides on a probe and takes its cost from the budget.
func (s *state) nextProbe(now time.Time) (ProbeReason, bool) {
	p := &s.planner
	refused := s.counters.Refused.Load()
	if refused != s.previous.refused && !s.isLeaving() {
		p.suspect = true
	}
	s.previous.refused = refused
	idle := s.checkIdle()
	if p.suspect && !s.isLeaving() && now.Sub(p.confirmedAt) >= confirmInterval && p.spendConfirm() {
		p.confirmedAt = now
		return ProbeConfirm, true
	}
	if idle && p.routineBudget >= probeOperations {
		p.routineBudget -= probeOperations
		return ProbeRoutine, true
	}
	return "", false
}

// spendConfirm also takes from the routine part: a node's part for confirmations
// lasts for one probe in 200 s in a fleet of 100 nodes with a budget of 2, while the
// highest-ranked nodes can confirm at once.
func (p *probePlanner) spendConfirm() bool {
	switch {
	case p.confirmBudget >= probeOperations:
		p.confirmBudget -= probeOperations
	case p.routineBudget >= probeOperations:
		p.routineBudget -= probeOperations
	default:
		return false
	}
	return true
}

// checkIdle tells whether the target had no traffic from this node since the last call.
func (s *state) checkIdle() bool {
	sent := s.counters.Sent.Load()
	idle := sent == s.previous.sentAtProbes
	s.previous.sentAtProbes = sent
	return idle
}

// ApplyProbeResult takes in the result of a probe and returns the facts to be published. A
// failed probe makes the target leaving only after a refused connection; a probe
// that is refused is such a connection for the next one.
func (r *Registry) ApplyProbeResult(now time.Time, result ProbeResult) []Fact {
	s := r.targets[result.Address]
	if s == nil {
		return nil
	}
	switch {
	case !result.Failed:
		s.planner.suspect = false
		s.applyReport(result.Report, ReasonHealth)
	case s.planner.suspect:
		s.markLeaving(ReasonRefused)
	case result.Refused:
		s.planner.suspect = true
	}
	return s.flushFacts()
}
