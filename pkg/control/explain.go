package control

import (
	"encoding/json"

	"github.com/fireflychute/fireflychute/pkg/explain"
	"github.com/fireflychute/fireflychute/pkg/operator"
)

// Explain implements operator.Backend.
func (b *Backend) Explain(requestID string) (operator.Explanation, bool) {
	decisions := b.decisions.Find(requestID)
	if len(decisions) == 0 {
		return operator.Explanation{}, false
	}
	last := decisions[len(decisions)-1]
	explanation := operator.Explanation{
		RequestID: requestID, Node: b.controller.options.Self.Name, Time: last.Time, Route: last.Route, Caller: last.Caller,
		Outcome: last.Outcome, Reason: last.Reason, Status: last.Status,
	}
	for _, attempt := range last.Attempts {
		explanation.Attempts = append(explanation.Attempts, explainAttempt(attempt))
	}
	return explanation, true
}

func explainAttempt(attempt explain.Attempt) operator.Attempt {
	evidence, err := json.Marshal(attempt.Evidence)
	if err != nil {
		evidence = nil
	}
	return operator.Attempt{
		Target: attempt.Target, Version: attempt.Version, Candidates: attempt.Candidates, Evidence: string(evidence),
		Outcome: attempt.Failure, LatencyMicros: attempt.LatencyMicros,
	}
}
