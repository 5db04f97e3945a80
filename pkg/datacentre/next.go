package datacentre

import (
	"fmt"
	"reflect"
	"slices"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
)

// MaxDecisions is how many recent decisions a status holds.
const MaxDecisions = 50

// Condition types of a data centre.
const (
	ConditionProgressing = "Progressing"
	ConditionCompleted   = "Completed"
)

// Reasons for conditions and decisions.
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

// Observation aggregates the nodes' reports on a data centre for the current generation.
type Observation struct {
	// InFlight is the number of requests in flight at its targets, over all nodes.
	InFlight int
	// NewRequests is the number of requests sent to its targets since the previous observation,
	// over all nodes.
	NewRequests int
	// Targets is the number of its live targets; SaturatedColdTargets is how many of them are cold
	// with all units in use. A cold target with free units is not counted, as it serves its whole
	// load.
	Targets, SaturatedColdTargets int
	// Unsettled means that its targets have not been observed for long enough since it came back
	// into service, so that SaturatedColdTargets is not conclusive yet.
	Unsettled bool
	// UnreportedNodes is the number of nodes that have not applied this generation or have not
	// reported. Their requests are missing in the counts above.
	UnreportedNodes int
}

// Next returns the status to store and whether it differs from the given one, which is not
// modified. Under a new epoch the first call only rewrites the status with that epoch. Otherwise
// Next is idempotent: a call with the resulting status and the same other arguments changes
// nothing. A status written under a higher epoch or for a higher generation is returned unchanged.
//
// A transition to Out is Completed when all nodes have reported, no request is in flight and none
// was sent since the last observation; it is Progressing again if new requests are sent. A
// transition to In is Completed when no target is limited by its ramp, and then stays Completed: a
// target that becomes cold later is not part of the transition.
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
	t := transition{now: now, node: node, status: next}
	if generation > status.Generation {
		t.start(spec, generation)
	}
	t.step(spec, observed)
	return t.status, !reflect.DeepEqual(status, t.status)
}

// transition holds the arguments of one call of Next and the status being built.
type transition struct {
	now    time.Time
	node   string
	status api.DataCentreStatus
}

func (t *transition) start(spec api.DataCentreSpec, generation int) {
	t.status.Generation = generation
	t.status.Phase = api.PhasePending
	t.status.Conditions = nil
	t.recordDecision(string(spec.State), ReasonDeclared)
}

func (t *transition) step(spec api.DataCentreSpec, observed Observation) {
	completedIn := spec.State == api.DataCentreStateIn && t.status.Phase == api.PhaseCompleted
	if completedIn {
		return
	}
	t.status.InFlight = observed.InFlight
	reason, message, done := progress(spec, observed)
	phase := api.PhaseProgressing
	if done {
		phase = api.PhaseCompleted
	}
	if phase != t.status.Phase {
		t.status.Phase = phase
		t.recordDecision(string(phase), reason)
	}
	t.setCondition(ConditionProgressing, !done, reason, message)
	t.setCondition(ConditionCompleted, done, reason, message)
}

// progress reports whether the transition is done, and otherwise what it waits for.
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

// setCondition adds or replaces the condition of a type. LastTransitionTime changes only with the
// condition's status.
func (t *transition) setCondition(conditionType string, isTrue bool, reason, message string) {
	updated := api.Condition{Type: conditionType, Status: api.ConditionStatusFalse, Reason: reason, Message: message, LastTransitionTime: t.now}
	if isTrue {
		updated.Status = api.ConditionStatusTrue
	}
	conditions := slices.Clone(t.status.Conditions)
	index := slices.IndexFunc(conditions, func(c api.Condition) bool { return c.Type == conditionType })
	if index < 0 {
		t.status.Conditions = append(conditions, updated)
		return
	}
	if conditions[index].Status == updated.Status {
		updated.LastTransitionTime = conditions[index].LastTransitionTime
	}
	conditions[index] = updated
	t.status.Conditions = conditions
}

// recordDecision appends a decision and drops the oldest ones beyond MaxDecisions.
func (t *transition) recordDecision(action, reason string) {
	t.status.Decisions = append(t.status.Decisions, api.Decision{Time: t.now, Node: t.node, Action: action, Reason: reason})
	dropped := len(t.status.Decisions) - MaxDecisions
	if dropped > 0 {
		t.status.Decisions = t.status.Decisions[dropped:]
	}
}
