package placement

import "time"

const (
	// latencyMargin is the factor by which the predicted latency is raised before it is compared
	// with the objective, since a request may take longer than predicted.
	latencyMargin = 1.2
	// goodCost is the cost up to which a candidate is selected without probing further
	// targets. An idle target is below it, also one in another data centre.
	goodCost = 1.35
)

// TimeBudget is the time that a request has left.
type TimeBudget struct {
	// Objective is the time until the latency objective is missed, Deadline the time until
	// the caller times out. Either may be negative.
	Objective, Deadline time.Duration
}

// Prediction is the expected outcome of a request at a candidate.
type Prediction int

// Predictions, from best to worst.
const (
	// MeetsObjective means a response within the objective.
	MeetsObjective Prediction = iota
	// MissesObjective means a response after the objective but before the deadline.
	MissesObjective
	// MissesDeadline means a response after the deadline.
	MissesDeadline
)

// Predict returns the expected outcome of a request at a candidate. While the route's service
// time is unknown, every candidate is expected to meet an objective that has not passed yet.
func (m *Model) Predict(c Candidate, budget TimeBudget) Prediction {
	expected := time.Duration(m.RelativeLatency(c) * float64(m.ServiceTime()))
	switch {
	case expected > budget.Deadline:
		return MissesDeadline
	case time.Duration(latencyMargin*float64(expected)) > budget.Objective:
		return MissesObjective
	default:
		return MeetsObjective
	}
}

// MaxWait returns how long a request may wait for a free slot and still meet its objective at
// an idle target. It is zero or negative if the request misses its objective at any target.
func (m *Model) MaxWait(budget TimeBudget) time.Duration {
	return budget.Objective - time.Duration(latencyMargin*float64(m.ServiceTime()))
}

// Accepts reports whether a request is sent to a candidate. A request that can still meet its
// objective elsewhere waits for that. A request that misses its objective anyway is still
// served, but yields where slots are scarce: it leaves a slot to waiting requests that can meet
// their objective, and it uses no target where it would slow down the requests in progress or
// hold the slot several times as long as usual.
func (m *Model) Accepts(c Candidate, budget TimeBudget, othersWait bool) bool {
	prediction := m.Predict(c, budget)
	switch {
	case prediction == MeetsObjective:
		return true
	case prediction == MissesDeadline || m.MaxWait(budget) > 0 || othersWait:
		return false
	default:
		return !c.nearlyFull() && !m.IsSlow(c)
	}
}

// IsGood reports whether a candidate of this cost is selected without probing further targets.
func IsGood(cost float64) bool { return cost <= goodCost }
