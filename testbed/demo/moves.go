package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/rollout"
)

// Transition is the state of a rollout or a data centre change at the end.
type Transition struct {
	Name, State, Reason string
	// AsExpected tells that it is the state that the run has to reach.
	AsExpected bool
	// RolledBackAt is when a rollout was taken back.
	RolledBackAt time.Time
}

// ReadTransitions reads the final states of the moves.
func (s *Script) ReadTransitions(ctx context.Context) {
	s.Observations.Transitions = append(s.Observations.Transitions, s.dataCentreTransition(ctx, "in"),
		s.rolloutTransition(ctx, s.GoodRollout, api.PhaseCompleted), s.rolloutTransition(ctx, s.BadRollout, api.PhaseRolledBack))
}

func (s *Script) dataCentreTransition(ctx context.Context, direction string) Transition {
	transition := Transition{Name: fmt.Sprintf("%s %s", s.OutDataCentre, direction)}
	status, err := s.DataCentreStatus(ctx, s.OutDataCentre)
	if err != nil {
		transition.State, transition.Reason = "not reported", err.Error()
		return transition
	}
	transition.State = string(status.Phase)
	transition.Reason = conditionReasons(status.Conditions, string(status.Phase))
	transition.AsExpected = status.Phase == api.PhaseCompleted
	return transition
}

func (s *Script) rolloutTransition(ctx context.Context, r Rollout, expected api.Phase) Transition {
	transition := Transition{Name: r.Name}
	status, err := s.RolloutStatus(ctx, r.Name)
	if err != nil {
		transition.State, transition.Reason = "not reported", err.Error()
		return transition
	}
	transition.State = fmt.Sprintf("%s at %g%%", status.Phase, status.SharePercent)
	transition.Reason = conditionReasons(status.Conditions, string(status.Phase))
	transition.AsExpected = status.Phase == expected
	if status.Blocked && len(status.Decisions) > 0 {
		transition.RolledBackAt = status.Decisions[len(status.Decisions)-1].Time
	}
	return transition
}

// conditionReasons returns the reason and message of the condition that a phase is named after.
func conditionReasons(conditions []api.Condition, phase string) string {
	reasons := ""
	for _, c := range conditions {
		if c.Type == phase || c.Type == rollout.ConditionLate && c.Status == api.ConditionStatusTrue {
			reasons += fmt.Sprintf("%s=%s %s: %s; ", c.Type, c.Status, c.Reason, c.Message)
		}
	}
	return reasons
}
