package datacentre

import (
	"fmt"
	"reflect"
	"slices"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
)

// MaxDecisions is how many decisions a status keeps.
const MaxDecisions = 50

// Types of the conditions of a data centre.
const (
	ConditionProgressing = "Progressing"
	ConditionCompleted   = "Completed"
)

// Reasons of conditions and decisions.
const (
	ReasonInFlight        = "RequestsInFlight"
	ReasonNewWork         = "NewWorkSent"
	ReasonNodesUnreported = "NodesNotReported"
	ReasonDrained         = "Drained"
	ReasonColdTargets     = "ColdTargets"
	ReasonWarm            = "TargetsWarm"
	ReasonSettling        = "Settling"
	ReasonDeclared        = "Declared"
)

// Observation is what the nodes report of a data centre under the present generation.
type Observation struct {
	// InFlight is how many requests are in flight at its targets, over all nodes.
	InFlight int
	// NewRequests is how many requests were sent to its targets since the previous
	// observation, over all nodes.
	NewRequests int
	// Targets and Cold are its live targets and how many of them are cold with all
	// units in use. A cold target with free units serves what there is for it.
	Targets, SaturatedColdTargets int
	// Unsettled tells that targets were not observed long enough since it returned
	// for Cold to say something.
	Unsettled bool
	// UnreportedNodes is how many nodes have not applied this generation or have not
	// reported. Their requests are not in the counts above.
	UnreportedNodes int
}

// Next returns the status that is to be stored, and whether it differs from the
// given one, which is not changed. Called again with the same input it changes
// nothing. A status written under a higher epoch or for a higher generation is
// left alone. Under a new epoch the first call only rewrites the status.
//
// Out is Completed when all nodes have reported, nothing is in flight and no new
// work was sent; it is Progressing again when new work is seen. In is Completed
// when no target is cold, and stays so: a target that becomes cold later is no
// part of the move.
func Next(now time.Time, node string, epoch int, spec api.DataCentreSpec, generation int, status api.DataCentreStatus, observed Observation) (api.DataCentreStatus, bool) {
	if epoch < status.Epoch || generation < status.Generation {
		return status, false
	}
	next := status
	next.Epoch = epoch
	if epoch > status.Epoch && status.Epoch > 0 {
		return next, true
	}
	next.Decisions = slices.Clone(status.Decisions)
	m := transition{now: now, node: node, status: next}
	if generation > status.Generation {
		m.start(spec, generation)
	}
	m.step(spec, observed)
	return m.status, !reflect.DeepEqual(status, m.status)
}

// transition holds the input of one call and the status being built.
type transition struct {
	now    time.Time
	node   string
	status api.DataCentreStatus
}

func (m *transition) start(spec api.DataCentreSpec, generation int) {
	m.status.Generation = generation
	m.status.Phase = api.PhasePending
	m.status.Conditions = nil
	m.recordDecision(string(spec.State), ReasonDeclared)
}

func (m *transition) step(spec api.DataCentreSpec, observed Observation) {
	completedIn := spec.State == api.DataCentreStateIn && m.status.Phase == api.PhaseCompleted
	if completedIn {
		return
	}
	m.status.InFlight = observed.InFlight
	reason, message, done := progress(spec, observed)
	phase := api.PhaseProgressing
	if done {
		phase = api.PhaseCompleted
	}
	if phase != m.status.Phase {
		m.status.Phase = phase
		m.recordDecision(string(phase), reason)
	}
	m.setCondition(ConditionProgressing, !done, reason, message)
	m.setCondition(ConditionCompleted, done, reason, message)
}

// progress says what the move waits for, or that it is done.
func progress(spec api.DataCentreSpec, observed Observation) (reason, message string, done bool) {
	if observed.UnreportedNodes > 0 {
		return ReasonNodesUnreported, fmt.Sprintf("%d nodes have not reported this generation", observed.UnreportedNodes), false
	}
	if spec.State == api.DataCentreStateIn {
		return warmUpProgress(observed)
	}
	return drainProgress(observed)
}

func drainProgress(observed Observation) (reason, message string, done bool) {
	switch {
	case observed.NewRequests > 0:
		return ReasonNewWork, "new work was sent to its targets", false
	case observed.InFlight > 0:
		return ReasonInFlight, fmt.Sprintf("%d requests in flight", observed.InFlight), false
	default:
		return ReasonDrained, "nothing is in flight and no new work was sent", true
	}
}

func warmUpProgress(observed Observation) (reason, message string, done bool) {
	if observed.SaturatedColdTargets > 0 {
		return ReasonColdTargets, fmt.Sprintf("%d of %d targets are cold and fully used", observed.SaturatedColdTargets, observed.Targets), false
	}
	if observed.Unsettled {
		return ReasonSettling, "its targets have not been observed long enough", false
	}
	return ReasonWarm, "no target is limited by its ramp", true
}

// setCondition replaces the condition of the same type. The time of the last transition
// changes only with the status.
func (m *transition) setCondition(conditionType string, isTrue bool, reason, message string) {
	updated := api.Condition{Type: conditionType, Status: api.ConditionStatusFalse, Reason: reason, Message: message, LastTransitionTime: m.now}
	if isTrue {
		updated.Status = api.ConditionStatusTrue
	}
	conditions := slices.Clone(m.status.Conditions)
	index := slices.IndexFunc(conditions, func(c api.Condition) bool { return c.Type == conditionType })
	if index < 0 {
		m.status.Conditions = append(conditions, updated)
		return
	}
	if conditions[index].Status == updated.Status {
		updated.LastTransitionTime = conditions[index].LastTransitionTime
	}
	conditions[index] = updated
	m.status.Conditions = conditions
}

func (m *transition) recordDecision(action, reason string) {
	m.status.Decisions = append(m.status.Decisions, api.Decision{Time: m.now, Node: m.node, Action: action, Reason: reason})
	dropped := len(m.status.Decisions) - MaxDecisions
	if dropped > 0 {
		m.status.Decisions = m.status.Decisions[dropped:]
	}
}
