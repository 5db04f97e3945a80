package control

import (
	"encoding/json"

	"github.com/fireflychute/fireflychute/pkg/explain"
	"github.com/fireflychute/fireflychute/pkg/operator"
)

// Explain implements operator.Backend.
func (b *Backend) Explain(requestID string) (operator.Explanation, bool) {
	decisions := b.ring.Find(requestID)
	if len(decisions) == 0 {
		return operator.Explanation{}, false
	}
	last := decisions[len(decisions)-1]
	explanation := operator.Explanation{
		RequestID: requestID, Node: b.controller.options.Self.Name, Time: last.Time, Route: last.Route, Caller: last.Caller,
		Outcome: last.Outcome, Reason: last.Reason, Status: last.Status,
	}
	for _, try := range last.Attempts {
		explanation.Tries = append(explanation.Tries, explainTry(try))
	}
	return explanation, true
}

func explainTry(try explain.Attempt) operator.Try {
	evidence, err := json.Marshal(try.Evidence)
	if err != nil {
		evidence = nil
	}
	return operator.Try{
		Target: try.Target, Version: try.Version, Candidates: try.Candidates, Evidence: string(evidence),
		Outcome: try.Failure, LatencyMicros: try.LatencyMicros,
	}
}
