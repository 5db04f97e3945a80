package targets

import (
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
)

const (
	// healthCheckOperations is the cost of a health check in operations: the connection and the
	// request.
	healthCheckOperations = 2
	// routineCheckers is how many of the highest-ranked nodes make routine checks.
	routineCheckers = 2
	// routineShare is the fraction of the measuring budget for routine checks. The rest is for
	// checks that confirm a refused connection and is divided over all nodes.
	routineShare = 0.5
	// confirmInterval is the shortest time between two confirming checks of a target.
	confirmInterval = time.Second
)

// HealthCheckReason is the reason for which a target is checked.
type HealthCheckReason string

// Reasons of health checks.
const (
	HealthCheckRoutine HealthCheckReason = "no traffic"
	HealthCheckConfirm HealthCheckReason = "refused connection"
)

// HealthCheck is a health check that is due. It uses a new connection.
type HealthCheck struct {
	Address string
	Service string
	Reason  HealthCheckReason
	// Operations is the cost that was charged to the measuring budget.
	Operations int
}

// HealthCheckResult is the outcome of a health check.
type HealthCheckResult struct {
	Address string
	// Failed is set if no valid response arrived in time.
	Failed bool
	// Refused is set if the target refused the connection.
	Refused bool
	// Report is valid unless the check failed.
	Report Report
}

// healthCheckPlanner holds the token buckets for a node's part of the measuring budget of one
// target. The buckets start empty, so that the fleet stays within the budget when nodes restart.
type healthCheckPlanner struct {
	refilledAt    time.Time
	routineBudget float64 // available operations
	confirmBudget float64
	confirmedAt   time.Time
	suspect       bool // a connection was refused since the last successful check
}

// SetExpectedFleetSize sets the fleet size last received from a peer. While fewer nodes are
// counted, the node does not know its rank and makes no routine checks.
func (r *Registry) SetExpectedFleetSize(size int) {
	r.expectedFleetSize = size
}

// DueHealthChecks returns the health checks that are due now and charges their cost. All counted
// nodes together stay within the measuring budget of each target: over any period, a node spends at
// most its rate times the period plus one check of each kind.
func (r *Registry) DueHealthChecks(now time.Time, nodes []string, services map[string]api.ServiceSpec) []HealthCheck {
	checks := []HealthCheck{}
	r.setNodes(nodes)
	for _, address := range r.addresses {
		s := r.targets[address]
		s.refillHealthCheckBudget(now, services[s.service].MeasuringBudget, r.rankOf(s), len(nodes), r.expectedFleetSize)
		reason, due := s.nextHealthCheck(now)
		if !due {
			continue
		}
		checks = append(checks, HealthCheck{Address: address, Service: s.service, Reason: reason, Operations: healthCheckOperations})
	}
	return checks
}

// refillHealthCheckBudget adds the operations accrued since the last call. budget is the target's
// measuring budget in operations per second; each bucket holds the cost of one check at most.
func (s *state) refillHealthCheckBudget(now time.Time, budget float64, rank, counted, expected int) {
	p := &s.planner
	elapsed := now.Sub(p.refilledAt).Seconds()
	if p.refilledAt.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	p.refilledAt = now
	fleet := max(counted, expected, 1)
	confirmRate := budget * (1 - routineShare) / float64(fleet)
	p.confirmBudget = min(p.confirmBudget+elapsed*confirmRate, healthCheckOperations)
	if rank >= routineCheckers || counted < expected {
		p.routineBudget = 0
		return
	}
	routineRate := budget * routineShare / routineCheckers
	p.routineBudget = min(p.routineBudget+elapsed*routineRate, healthCheckOperations)
}

// nextHealthCheck returns the reason for the health check that is due, if any, and charges its
// cost.
func (s *state) nextHealthCheck(now time.Time) (HealthCheckReason, bool) {
	p := &s.planner
	refused := s.counters.Refused.Load()
	if refused != s.previous.refused && !s.isLeaving() {
		p.suspect = true
	}
	s.previous.refused = refused
	idle := s.checkIdle()
	if p.suspect && !s.isLeaving() && now.Sub(p.confirmedAt) >= confirmInterval && p.spendConfirm() {
		p.confirmedAt = now
		return HealthCheckConfirm, true
	}
	if idle && p.routineBudget >= healthCheckOperations {
		p.routineBudget -= healthCheckOperations
		return HealthCheckRoutine, true
	}
	return "", false
}

// spendConfirm charges a confirming check to the confirm budget, or else to the routine budget,
// and reports whether either sufficed. In a fleet of 100 nodes with a measuring budget of 2, the
// confirm budget of a node allows only one check in 200 s, while the highest-ranked nodes can
// confirm at once with their routine budget.
func (p *healthCheckPlanner) spendConfirm() bool {
	switch {
	case p.confirmBudget >= healthCheckOperations:
		p.confirmBudget -= healthCheckOperations
	case p.routineBudget >= healthCheckOperations:
		p.routineBudget -= healthCheckOperations
	default:
		return false
	}
	return true
}

// checkIdle reports whether this node sent the target no requests since the last call.
func (s *state) checkIdle() bool {
	sent := s.counters.Sent.Load()
	idle := sent == s.previous.sentAtHealthChecks
	s.previous.sentAtHealthChecks = sent
	return idle
}

// ApplyHealthCheck applies the result of a health check and returns the facts to be published. A
// failed check marks the target as leaving only if it confirms an earlier refused connection,
// either of a request or of a previous check.
func (r *Registry) ApplyHealthCheck(now time.Time, result HealthCheckResult) []Fact {
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
