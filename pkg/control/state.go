package control

import (
	"maps"

	"github.com/fireflychute/fireflychute/pkg/targets"
)

// State is the control state that metrics show. It is at most a second old.
type State struct {
	Revision  uint64
	FleetSize int
	Isolated  bool
	// Leases are the names of the leases that this node holds.
	Leases       []string
	FactsDropped uint64
	// Probes counts the health checks by target.
	Probes map[string]uint64
}

// State returns the state. It may be called from any goroutine.
func (c *Controller) State() State {
	return c.view.Load().state
}

// Entries returns the listed targets. It may be called from any goroutine.
func (c *Controller) Entries() []targets.Entry {
	return c.view.Load().entries
}

func (c *Controller) state() State {
	state := State{
		Revision: c.revision(), FleetSize: len(c.countedNodes), Isolated: c.currentSnapshot != nil && c.currentSnapshot.Isolated,
		FactsDropped: c.members.DroppedFacts(), Probes: maps.Clone(c.probesByTarget),
	}
	for _, name := range c.leases.names() {
		if c.leases.byName[name].epoch > 0 {
			state.Leases = append(state.Leases, name)
		}
	}
	return state
}
