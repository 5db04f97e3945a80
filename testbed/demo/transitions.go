package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/rollout"
)

// Transition is the final state of a rollout or a data centre change.
type Transition struct {
	Name, State, Reason string
	// AsExpected reports that State is the one that the run has to reach.
	AsExpected bool
	// RolledBackAt is the time of the last decision of a rollout whose version is blocked;
	// otherwise zero.
	RolledBackAt time.Time
}

// ReadTransitions reads the final states of both rollouts and of the data centre's return.
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

// conditionReasons returns the reasons and messages of the condition named like phase and of the
// condition rollout.ConditionLate if it is true.
func conditionReasons(conditions []api.Condition, phase string) string {
	reasons := ""
	for _, c := range conditions {
		if c.Type == phase || c.Type == rollout.ConditionLate && c.Status == api.ConditionStatusTrue {
			reasons += fmt.Sprintf("%s=%s %s: %s; ", c.Type, c.Status, c.Reason, c.Message)
		}
	}
	return reasons
}
