package rollout

import (
	"fmt"
	"reflect"
	"slices"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
)

// MaxDecisions is how many decisions a status keeps.
const MaxDecisions = 50

// actionShare is the action of a decision that changes the share.
const actionShare = "SetShare %g%%"

// Observed is what was seen of the new version under one generation of the
// declaration.
type Observed struct {
	// Bad is the judge's verdict.
	Bad      bool
	Evidence []api.Evidence
	// Exposure is how many requests of the new version were judged, see judge.Exposure.
	Exposure int
	// Timed is how many of them were judged by their latency, see judge.TimedExposure.
	Timed int
	// Blocked tells that a node stopped sending to the version under this generation.
	Blocked bool
}

// Next returns the status that is to be stored, and whether it differs from the
// given one. The given status is not changed. A status written under a higher
// epoch or for a higher generation is left alone, so a controller that lost its
// lease or has an old configuration changes nothing.
//
// Under a new epoch, the first call only rewrites the status with that epoch; the
// next one acts. A version is taken back under any phase of its generation, also
// after it was completed.
func Next(now time.Time, node string, epoch int, spec api.RolloutSpec, generation int, status api.RolloutStatus, observed Observed) (next api.RolloutStatus, changed bool) {
	if epoch < status.Epoch || generation < status.Generation {
		return status, false
	}
	if epoch > status.Epoch && status.Epoch > 0 {
		status.Epoch = epoch
		return status, true
	}
	s := stepper{now: now, node: node, spec: spec, observed: observed, status: copied(status)}
	s.status.Epoch = epoch
	if generation > status.Generation {
		s.start(generation)
	}
	s.step()
	return s.status, !reflect.DeepEqual(status, s.status)
}

// copied detaches the slices that Next appends to.
func copied(status api.RolloutStatus) api.RolloutStatus {
	status.Decisions = slices.Clone(status.Decisions)
	return status
}

// stepper holds the input of one call and the status being built.
type stepper struct {
	now      time.Time
	node     string
	spec     api.RolloutSpec
	observed Observed
	status   api.RolloutStatus
}

// start begins a generation. The decisions of earlier generations are kept.
func (s *stepper) start(generation int) {
	s.status.Generation = generation
	s.status.Phase = api.PhasePending
	s.status.Blocked = false
	s.status.SharePercent = 0
	s.status.Conditions = nil
}

func (s *stepper) step() {
	switch {
	case s.status.Blocked:
		return
	case s.spec.State == api.RolloutStateRolledBack:
		s.rollBack(ReasonOperator, "the declaration says RolledBack")
	case s.observed.Bad:
		s.rollBack(ReasonBadVersion, "the new version is worse than the old one")
	case s.observed.Blocked:
		s.rollBack(ReasonNodeBlocked, "a node stopped sending to the new version on its own evidence")
	case s.status.Phase == api.PhaseCompleted:
		return
	case s.status.Phase != api.PhaseProgressing:
		s.begin()
	default:
		s.progress()
	}
}

func (s *stepper) rollBack(reason, message string) {
	s.status.Phase = api.PhaseRolledBack
	s.status.Blocked = true
	s.setShare(0, reason)
	s.set(ConditionProgressing, false, reason, message)
	s.set(ConditionCompleted, false, reason, message)
	s.set(ConditionRolledBack, true, reason, message)
}

func (s *stepper) begin() {
	s.status.Phase = api.PhaseProgressing
	s.set(ConditionProgressing, true, ReasonStarted, "the first share is given")
	s.setShare(newPlan(s.spec, s.now).first(), ReasonStarted)
	s.progress()
}

func (s *stepper) progress() {
	p := newPlan(s.spec, startOf(s.status, s.now))
	to, more := p.next(s.status.SharePercent)
	if more && s.due(p, to) {
		s.setShare(to.share, ReasonStepReached)
		to, more = p.next(to.share)
	}
	if !more {
		s.complete(p)
		return
	}
	s.explain(p, to)
	s.report(p)
}

// due tells whether a share may be given now.
func (s *stepper) due(p plan, to step) bool {
	return s.exposed(p, to) && !s.now.Before(p.at(to)) && !s.now.Before(s.heldUntil(p))
}

// exposed tells whether there is evidence enough for a share. A verdict needs
// latencies as well: a version that is slow at warm targets looks good while all
// its targets are cold.
func (s *stepper) exposed(p plan, to step) bool {
	judged := to.share <= p.unjudged || s.observed.Timed >= VerdictExposure
	return judged && s.observed.Exposure >= p.need(to)
}

func (s *stepper) heldUntil(p plan) time.Time {
	return lastRaise(s.status, p.started).Add(StepHold)
}

// explain says what the next share waits for.
func (s *stepper) explain(p plan, to step) {
	switch {
	case !s.exposed(p, to):
		s.set(ConditionProgressing, true, ReasonWaitingExposure, fmt.Sprintf("%d judged requests are needed before %g%%", p.need(to), to.share))
	case s.now.Before(p.at(to)):
		s.set(ConditionProgressing, true, ReasonWaitingForTime, fmt.Sprintf("%g%% is due at %s", to.share, p.at(to).UTC().Format(time.RFC3339)))
	default:
		s.set(ConditionProgressing, true, ReasonHolding, "the present share is held until all nodes have reported")
	}
}

func (s *stepper) complete(p plan) {
	s.status.Phase = api.PhaseCompleted
	s.set(ConditionProgressing, false, ReasonAllSteps, "all steps were reached")
	s.set(ConditionCompleted, true, ReasonAllSteps, "all traffic is on the new version")
	if s.now.After(p.completeBy) {
		s.set(ConditionLate, true, ReasonTimePassed, "completed after completeBy")
		return
	}
	s.set(ConditionLate, false, ReasonOnTime, "completed by completeBy")
}

// report says whether the rollout will be late.
func (s *stepper) report(p plan) {
	f := p.foresee(s.now, s.status, s.observed.Exposure)
	s.set(ConditionLate, f.late, f.reason, f.message)
}

func (s *stepper) set(kind string, holds bool, reason, message string) {
	s.status.Conditions = setCondition(s.status.Conditions, condition(s.now, kind, holds, reason, message))
}

func (s *stepper) setShare(share float64, reason string) {
	s.status.SharePercent = share
	s.status.Decisions = append(s.status.Decisions, api.Decision{
		Time: s.now, Node: s.node, Action: fmt.Sprintf(actionShare, share), Reason: reason, Evidence: s.observed.Evidence,
	})
	dropped := len(s.status.Decisions) - MaxDecisions
	if dropped > 0 {
		s.status.Decisions = s.status.Decisions[dropped:]
	}
}

// lastRaise returns when the present share was given.
func lastRaise(status api.RolloutStatus, started time.Time) time.Time {
	for i := len(status.Decisions) - 1; i >= 0; i-- {
		decision := status.Decisions[i]
		if !decision.Time.Before(started) {
			return decision.Time
		}
	}
	return started
}
