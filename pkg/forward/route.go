package forward

import (
	"time"

	"github.com/fireflychute/fireflychute/pkg/experiment"
	"github.com/fireflychute/fireflychute/pkg/placement"
)

// routeState is what the node learned of a route.
type routeState struct {
	latency  latencyAverage
	model    *placement.Model
	timeouts placement.CallerTimeouts
}

func (h *Handler) routeState(name string) *routeState {
	cached, ok := h.routes.Load(name)
	if !ok {
		cached, _ = h.routes.LoadOrStore(name, &routeState{model: placement.NewModel()})
	}
	return cached.(*routeState)
}

// timeBudget is the time that the request has left. The objective counts from the caller's
// first attempt, of which a caller that comes back has less of its usual timeout left.
func (c *call) timeBudget(now time.Time) placement.TimeBudget {
	if c.handler.isDisabled(experiment.Objective) {
		return placement.TimeBudget{Objective: time.Hour, Deadline: time.Hour}
	}
	elapsed := c.age + now.Sub(c.began)
	return placement.TimeBudget{Objective: c.route.Objective - elapsed, Deadline: c.deadline.Sub(now)}
}
