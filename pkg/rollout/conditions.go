package rollout

import (
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
)

// Types of the conditions of a rollout.
const (
	ConditionProgressing = "Progressing"
	ConditionLate        = "Late"
	ConditionCompleted   = "Completed"
	ConditionRolledBack  = "RolledBack"
)

// Reasons of conditions and decisions.
const (
	ReasonStarted         = "Started"
	ReasonStepReached     = "StepReached"
	ReasonWaitingForTime  = "WaitingForTime"
	ReasonWaitingExposure = "WaitingForExposure"
	ReasonHolding         = "HoldingShare"
	ReasonOnTime          = "OnTime"
	ReasonTooLittleTime   = "TooLittleTime"
	ReasonNoExposure      = "NoExposure"
	ReasonExposureTooSlow = "ExposureTooSlow"
	ReasonTimePassed      = "TimePassed"
	ReasonAllSteps        = "AllStepsReached"
	ReasonBadVersion      = "BadVersion"
	ReasonNodeBlocked     = "NodeBlocked"
	ReasonOperator        = "Operator"
)

// replaceCondition replaces the condition of the same type. The time of the last
// transition changes only with the status.
func replaceCondition(conditions []api.Condition, wanted api.Condition) []api.Condition {
	updated := []api.Condition{}
	found := false
	for _, existing := range conditions {
		if existing.Type == wanted.Type {
			found = true
			if existing.Status == wanted.Status {
				wanted.LastTransitionTime = existing.LastTransitionTime
			}
			existing = wanted
		}
		updated = append(updated, existing)
	}
	if !found {
		updated = append(updated, wanted)
	}
	return updated
}

func newCondition(now time.Time, kind string, holds bool, reason, message string) api.Condition {
	status := api.ConditionStatusFalse
	if holds {
		status = api.ConditionStatusTrue
	}
	return api.Condition{Type: kind, Status: status, Reason: reason, Message: message, LastTransitionTime: now}
}

// startTime returns when the rollout started: the time of its Progressing
// condition, which unlike the decisions is never dropped.
func startTime(status api.RolloutStatus, now time.Time) time.Time {
	for _, c := range status.Conditions {
		if c.Type == ConditionProgressing {
			return c.LastTransitionTime
		}
	}
	return now
}
