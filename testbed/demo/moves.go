package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/rollout"
)

// Move is the state of a rollout or a data centre change at the end.
type Move struct {
	Name, State, Reason string
	// Good tells that it is the state that the run has to reach.
	Good bool
	// BlockedAt is when a rollout was taken back.
	BlockedAt time.Time
}

// ReadMoves reads the final states of the moves.
func (s *Script) ReadMoves(ctx context.Context) {
	s.Facts.Moves = append(s.Facts.Moves, s.dataCentreMove(ctx, "in"),
		s.rolloutMove(ctx, s.Good, api.PhaseCompleted), s.rolloutMove(ctx, s.Bad, api.PhaseRolledBack))
}

func (s *Script) dataCentreMove(ctx context.Context, direction string) Move {
	move := Move{Name: fmt.Sprintf("%s %s", s.Out, direction)}
	status, err := s.DataCentreStatus(ctx, s.Out)
	if err != nil {
		move.State, move.Reason = "not reported", err.Error()
		return move
	}
	move.State = string(status.Phase)
	move.Reason = reasonOf(status.Conditions, string(status.Phase))
	move.Good = status.Phase == api.PhaseCompleted
	return move
}

func (s *Script) rolloutMove(ctx context.Context, r Rollout, wanted api.Phase) Move {
	move := Move{Name: r.Name}
	status, err := s.RolloutStatus(ctx, r.Name)
	if err != nil {
		move.State, move.Reason = "not reported", err.Error()
		return move
	}
	move.State = fmt.Sprintf("%s at %g%%", status.Phase, status.SharePercent)
	move.Reason = reasonOf(status.Conditions, string(status.Phase))
	move.Good = status.Phase == wanted
	if status.Blocked && len(status.Decisions) > 0 {
		move.BlockedAt = status.Decisions[len(status.Decisions)-1].Time
	}
	return move
}

// reasonOf returns the reason and message of the condition that a phase is named after.
func reasonOf(conditions []api.Condition, phase string) string {
	reason := ""
	for _, c := range conditions {
		if c.Type == phase || c.Type == rollout.ConditionLate && c.Status == api.ConditionStatusTrue {
			reason += fmt.Sprintf("%s=%s %s: %s; ", c.Type, c.Status, c.Reason, c.Message)
		}
	}
	return reason
}
