package control

import (
	"fmt"

	"github.com/fireflychute/fireflychute/pkg/api"
)

// describeEvidence puts the strongest evidence into one line.
func describeEvidence(evidence []api.Evidence) string {
	if len(evidence) == 0 {
		return "no evidence recorded"
	}
	e := evidence[0]
	return fmt.Sprintf("route %s: new version %d of %d failed, %d slow; old version %d of %d failed, %d slow; e-value %.3g",
		e.Route, e.NewFailures, e.NewRequests, e.NewSlow, e.OldFailures, e.OldRequests, e.OldSlow, e.EValue)
}

// lastReason returns the reason of the last decision of a status.
func lastReason(status api.RolloutStatus) string {
	if len(status.Decisions) == 0 {
		return ""
	}
	return status.Decisions[len(status.Decisions)-1].Reason
}
