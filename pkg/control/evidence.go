package control

import (
	"fmt"

	"github.com/fireflychute/fireflychute/pkg/api"
)

// describeEvidence formats the strongest evidence as one line.
func describeEvidence(evidence []api.Evidence) string {
	if len(evidence) == 0 {
		return "no evidence recorded"
	}
	e := evidence[0]
	return fmt.Sprintf("route %s: new version %d of %d failed, %d slow; old version %d of %d failed, %d slow; e-value %.3g",
		e.Route, e.NewFailures, e.NewRequests, e.NewSlow, e.OldFailures, e.OldRequests, e.OldSlow, e.EValue)
}

// lastReason returns the reason of the last decision in a status, or "".
func lastReason(status api.RolloutStatus) string {
	if len(status.Decisions) == 0 {
		return ""
	}
	return status.Decisions[len(status.Decisions)-1].Reason
}
