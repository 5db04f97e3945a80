package targets

import (
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
)

const (
	// probeOperations is the cost of a probe: the connection and the request.
	probeOperations = 2
	// routineNodes is how many of the highest-ranked nodes probe without cause.
	routineNodes = 2
	// routinePart is the part of the budget for probes without cause; the rest is
	// for probes after a refused connection, divided over all nodes.
	routinePart = 0.5
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

// planner keeps a node's part of the measuring budget of one target. The buckets
// start empty, so that restarts of nodes do not exceed the budget.
type planner struct {
	at          time.Time
	routine     float64 // operations
	confirm     float64
	confirmedAt time.Time
	suspect     bool // a connection was refused since the last answer
}

// AssumeFleet sets the size of the fleet last heard from a peer. While the counted
// fleet is smaller, the node does not know its rank and makes no routine probes.
func (r *Registry) AssumeFleet(size int) {
	r.fleet = size
}

// Probes returns the probes that are due now. All nodes of the counted fleet
// together stay within the measuring budget of each target: over any time, each
// node spends at most its rate times this time plus one probe of each kind.
func (r *Registry) Probes(now time.Time, nodes []string, services map[string]api.ServiceSpec) []Probe {
	probes := []Probe{}
	r.setNodes(nodes)
	for _, address := range r.order {
		s := r.targets[address]
		s.refill(now, services[s.service].MeasuringBudget, r.rankOf(s), len(nodes), r.fleet)
		reason, due := s.due(now)
		if !due {
			continue
		}
		probes = append(probes, Probe{Address: address, Service: s.service, Reason: reason, Operations: probeOperations})
	}
	return probes
}

func (s *state) refill(now time.Time, budget float64, rank, counted, assumed int) {
	p := &s.planner
	elapsed := now.Sub(p.at).Seconds()
	if p.at.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	p.at = now
	fleet := max(counted, assumed, 1)
	confirm := budget * (1 - routinePart) / float64(fleet)
	p.confirm = min(p.confirm+elapsed*confirm, probeOperations)
	if rank >= routineNodes || counted < assumed {
		p.routine = 0
		return
	}
	routine := budget * routinePart / routineNodes
	p.routine = min(p.routine+elapsed*routine, probeOperations)
}

// due decides on a probe and takes its cost from the budget.
func (s *state) due(now time.Time) (ProbeReason, bool) {
	p := &s.planner
	refused := s.counters.Refused.Load()
	if refused != s.seen.refused && !s.leaving() {
		p.suspect = true
	}
	s.seen.refused = refused
	idle := s.idle()
	if p.suspect && !s.leaving() && now.Sub(p.confirmedAt) >= confirmInterval && p.takeConfirm() {
		p.confirmedAt = now
		return ProbeConfirm, true
	}
	if idle && p.routine >= probeOperations {
		p.routine -= probeOperations
		return ProbeRoutine, true
	}
	return "", false
}

// takeConfirm also takes from the routine part: a node's part for confirmations
// lasts for one probe in 200 s in a fleet of 100 nodes with a budget of 2, while the
// highest-ranked nodes can confirm at once.
func (p *planner) takeConfirm() bool {
	switch {
	case p.confirm >= probeOperations:
		p.confirm -= probeOperations
	case p.routine >= probeOperations:
		p.routine -= probeOperations
	default:
		return false
	}
	return true
}

// idle tells whether the target had no traffic from this node since the last call.
func (s *state) idle() bool {
	sent := s.counters.Sent.Load()
	idle := sent == s.seen.sentAtProbes
	s.seen.sentAtProbes = sent
	return idle
}

// Probed takes in the result of a probe and returns the facts to be published. A
// failed probe makes the target leaving only after a refused connection; a probe
// that is refused is such a connection for the next one.
func (r *Registry) Probed(now time.Time, result ProbeResult) []Fact {
	s := r.targets[result.Address]
	if s == nil {
		return nil
	}
	switch {
	case !result.Failed:
		s.planner.suspect = false
		s.report(result.Report, ReasonHealth)
	case s.planner.suspect:
		s.leave(ReasonRefused)
	case result.Refused:
		s.planner.suspect = true
	}
	return s.takeFacts()
}
