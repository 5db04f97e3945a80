package rollout

import (
	"fmt"
	"reflect"
	"slices"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
)

// MaxDecisions is the largest number of decisions in a status; older ones are dropped.
const MaxDecisions = 50

// actionShare is the action of a decision that changes the share.
const actionShare = "SetShare %g%%"

// Observed holds the observations of the new version under one generation of the declaration.
type Observed struct {
	// Bad reports whether the judge found the version to be bad.
	Bad      bool
	Evidence []api.Evidence
	// Exposure is how many requests of the new version were judged, see judge.Judge.Exposure.
	Exposure int
	// Timed is how many of them were judged by their latency, see judge.Judge.TimedExposure.
	Timed int
	// Blocked reports whether a node stopped sending to the version under this generation.
	Blocked bool
}

// Next returns the status to store, and whether it differs from the given one. The given
// status is not modified. A status written under a higher epoch or for a higher generation is
// returned unchanged, so a controller that lost its lease or has an old configuration changes
// nothing.
//
// Under a new epoch, the first call only rewrites the status with that epoch; the next one
// acts. A version is rolled back in any phase of its generation, also after completion.
func Next(now time.Time, node string, epoch int, spec api.RolloutSpec, generation int, status api.RolloutStatus, observed Observed) (next api.RolloutStatus, changed bool) {
	if epoch < status.Epoch || generation < status.Generation {
		return status, false
	}
	if epoch > status.Epoch && status.Epoch > 0 {
		status.Epoch = epoch
		return status, true
	}
	s := stepper{now: now, node: node, spec: spec, observed: observed, status: cloneStatus(status)}
	s.status.Epoch = epoch
	if generation > status.Generation {
		s.start(generation)
	}
	s.step()
	return s.status, !reflect.DeepEqual(status, s.status)
}

// cloneStatus returns the status with its own copy of the slices that Next appends to.
func cloneStatus(status api.RolloutStatus) api.RolloutStatus {
	status.Decisions = slices.Clone(status.Decisions)
	return status
}

// stepper holds the input of one call of Next and the status that it builds.
type stepper struct {
	now      time.Time
	node     string
	spec     api.RolloutSpec
	observed Observed
	status   api.RolloutStatus
}

// start resets the status for a new generation. The decisions of earlier generations stay.
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
	s.setCondition(ConditionProgressing, false, reason, message)
	s.setCondition(ConditionCompleted, false, reason, message)
	s.setCondition(ConditionRolledBack, true, reason, message)
}

func (s *stepper) begin() {
	s.status.Phase = api.PhaseProgressing
	s.setCondition(ConditionProgressing, true, ReasonStarted, "the first share is given")
	s.setShare(newPlan(s.spec, s.now).initialShare(), ReasonStarted)
	s.progress()
}

func (s *stepper) progress() {
	p := newPlan(s.spec, startTime(s.status, s.now))
	to, more := p.next(s.status.SharePercent)
	if more && s.isDue(p, to) {
		s.setShare(to.share, ReasonStepReached)
		to, more = p.next(to.share)
	}
	if !more {
		s.complete(p)
		return
	}
	s.reportNextStep(p, to)
	s.reportForecast(p)
}

// isDue reports whether the share of a step may be set now.
func (s *stepper) isDue(p plan, to step) bool {
	return s.hasEvidence(p, to) && !s.now.Before(p.dueAt(to)) && !s.now.Before(s.holdEnd(p))
}

// hasEvidence reports whether the exposure suffices for the share of a step. A verdict also
// needs latencies: a version that is slow on warm targets looks good while all its targets are
// cold.
func (s *stepper) hasEvidence(p plan, to step) bool {
	judged := to.share <= p.maxUnjudgedShare || s.observed.Timed >= VerdictExposure
	return judged && s.observed.Exposure >= p.requiredExposure(to)
}

func (s *stepper) holdEnd(p plan) time.Time {
	return lastShareChange(s.status, p.started).Add(StepHold)
}

// reportNextStep sets the Progressing condition to what the next share waits for.
func (s *stepper) reportNextStep(p plan, to step) {
	switch {
	case !s.hasEvidence(p, to):
		s.setCondition(ConditionProgressing, true, ReasonWaitingExposure, fmt.Sprintf("%d judged requests are needed before %g%%", p.requiredExposure(to), to.share))
	case s.now.Before(p.dueAt(to)):
		s.setCondition(ConditionProgressing, true, ReasonWaitingForTime, fmt.Sprintf("%g%% is due at %s", to.share, p.dueAt(to).UTC().Format(time.RFC3339)))
	default:
		s.setCondition(ConditionProgressing, true, ReasonHolding, "the present share is held until all nodes have reported")
	}
}

func (s *stepper) complete(p plan) {
	s.status.Phase = api.PhaseCompleted
	s.setCondition(ConditionProgressing, false, ReasonAllSteps, "all steps were reached")
	s.setCondition(ConditionCompleted, true, ReasonAllSteps, "all traffic is on the new version")
	if s.now.After(p.completeBy) {
		s.setCondition(ConditionLate, true, ReasonTimePassed, "completed after completeBy")
		return
	}
	s.setCondition(ConditionLate, false, ReasonOnTime, "completed by completeBy")
}

// reportForecast sets the Late condition from the forecast.
func (s *stepper) reportForecast(p plan) {
	f := p.forecast(s.now, s.status, s.observed.Exposure)
	s.setCondition(ConditionLate, f.late, f.reason, f.message)
}

func (s *stepper) setCondition(kind string, holds bool, reason, message string) {
	s.status.Conditions = replaceCondition(s.status.Conditions, newCondition(s.now, kind, holds, reason, message))
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

// lastShareChange returns when the current share was set.
func lastShareChange(status api.RolloutStatus, started time.Time) time.Time {
	for i := len(status.Decisions) - 1; i >= 0; i-- {
		decision := status.Decisions[i]
		if !decision.Time.Before(started) {
			return decision.Time
		}
	}
	return started
}
