package placement

import "time"

const (
	// latencyMargin is how much longer than predicted a request may take and still count
	// as one that will be in time.
	latencyMargin = 1.2
	// goodCost is the weight up to which a candidate is taken without asking further
	// ones: an idle target, or one in another data centre.
	goodCost = 1.35
)

// TimeBudget is the time that a request has left.
type TimeBudget struct {
	// Objective is the time until the answer is late, Deadline the time until the caller
	// has gone. Either may be negative.
	Objective, Deadline time.Duration
}

// Prediction tells what a candidate can do for a request.
type Prediction int

// Fits of a candidate, the better ones first.
const (
	// MeetsObjective answers are expected within the objective.
	MeetsObjective Prediction = iota
	// MissesObjective answers are expected after the objective, before the deadline.
	MissesObjective
	// MissesDeadline is an answer that is expected after the deadline.
	MissesDeadline
)

// Predict predicts what a candidate can do for a request. While nothing is known of the
// route's work, every candidate is expected to be in time.
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

// MaxWait is how long a request may wait for room and still be in time at an idle
// target. It is not positive for one that will be late wherever it goes.
func (m *Model) MaxWait(budget TimeBudget) time.Duration {
	return budget.Objective - time.Duration(latencyMargin*float64(m.ServiceTime()))
}

// Accepts tells whether a request goes to a candidate. One that can still be in time
// elsewhere waits for that. One that will be late is still of use, but gives way where slots
// are scarce: it leaves a slot to requests that wait and can be in time, and takes none that
// makes the others at the target slower or that it would hold several times as long as usual.
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

// IsGood tells whether a candidate of a weight is worth taking without looking further.
func IsGood(cost float64) bool { return cost <= goodCost }
