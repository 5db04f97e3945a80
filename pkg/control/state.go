package control

import (
	"maps"

	"github.com/fireflychute/fireflychute/pkg/targets"
)

// State is the control state that is exported as metrics. It is at most a second old.
type State struct {
	Revision  uint64
	FleetSize int
	Isolated  bool
	// Leases are the names of the leases that this node holds.
	Leases       []string
	FactsDropped uint64
	// HealthChecks counts the health checks by target address.
	HealthChecks map[string]uint64
}

// State returns the last published state. It is safe for concurrent use.
func (c *Controller) State() State {
	return c.view.Load().state
}

// Entries returns the targets of the last published view. It is safe for concurrent use.
func (c *Controller) Entries() []targets.Entry {
	return c.view.Load().entries
}

func (c *Controller) state() State {
	state := State{
		Revision: c.revision(), FleetSize: len(c.countedNodes), Isolated: c.currentSnapshot != nil && c.currentSnapshot.Isolated,
		FactsDropped: c.members.DroppedFacts(), HealthChecks: maps.Clone(c.healthChecksByTarget),
	}
	for _, name := range c.leases.names() {
		if c.leases.byName[name].epoch > 0 {
			state.Leases = append(state.Leases, name)
		}
	}
	return state
}
