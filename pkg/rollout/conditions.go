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

// setCondition replaces the condition of the same type. The time of the last
// transition changes only with the status.
func setCondition(conditions []api.Condition, wanted api.Condition) []api.Condition {
	replaced := []api.Condition{}
	found := false
	for _, present := range conditions {
		if present.Type == wanted.Type {
			found = true
			if present.Status == wanted.Status {
				wanted.LastTransitionTime = present.LastTransitionTime
			}
			present = wanted
		}
		replaced = append(replaced, present)
	}
	if !found {
		replaced = append(replaced, wanted)
	}
	return replaced
}

func condition(now time.Time, kind string, holds bool, reason, message string) api.Condition {
	status := api.ConditionStatusFalse
	if holds {
		status = api.ConditionStatusTrue
	}
	return api.Condition{Type: kind, Status: status, Reason: reason, Message: message, LastTransitionTime: now}
}

// startOf returns when the rollout started: the time of its Progressing
// condition, which unlike the decisions is never dropped.
func startOf(status api.RolloutStatus, now time.Time) time.Time {
	for _, c := range status.Conditions {
		if c.Type == ConditionProgressing {
			return c.LastTransitionTime
		}
	}
	return now
}
