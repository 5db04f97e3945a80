package membership

import (
	"slices"
	"time"
)

// heardFleetTime is how long a fleet size reported by a peer is assumed.
const heardFleetTime = time.Minute

// Counted returns the names by which limits are divided, sorted, this node
// included. A member is counted until it left gracefully or is known to be gone
// (see ListedNodes); a suspected, failed or partitioned member is counted. The
// result is kept until it changes, since it is asked for at each event; it must not
// be modified.
func (m *Machine) Counted(_ time.Time) []string {
	if m.counted == nil {
		m.counted = append(m.names(func(e *entry) bool { return e.State != Left && !e.gone }), m.self.Name)
		slices.Sort(m.counted)
	}
	return m.counted
}

func (m *Machine) countedSize() int {
	size := 1
	for _, e := range m.members {
		if e.State != Left && !e.gone {
			size++
		}
	}
	return size
}

// FleetSize returns the larger of the counted fleet and the last fleet size heard
// from a peer within a minute.
func (m *Machine) FleetSize(now time.Time) int {
	size := m.countedSize()
	if now.Sub(m.heardAt) < heardFleetTime {
		return max(size, m.heardFleet)
	}
	return size
}

func (m *Machine) heard(counted int) {
	m.heardFleet, m.heardAt = counted, m.now
}

// ListedNodes takes the peer addresses of the nodes in the platform's list of VMs,
// those that are leaving included. A failed member is gone when it was listed
// before and no longer is, or when it has been failed for 10 minutes and is not
// listed. A member that responds is never gone, since the list lags.
func (m *Machine) ListedNodes(now time.Time, live []string) {
	m.now = now
	m.counted = nil
	m.listed = map[string]bool{}
	for _, address := range live {
		m.listed[address] = true
	}
	for _, e := range m.members {
		switch {
		case m.listed[e.Address]:
			e.everListed, e.gone = true, false
		case e.State == Failed && now.Sub(e.since) >= failedHold:
			e.gone = true
		}
	}
	m.confirmGone()
}

// confirmGone marks the failed members that were listed and no longer are. The
// list may drop a node before the node is found to have failed.
func (m *Machine) confirmGone() {
	for _, e := range m.members {
		if e.State == Failed && e.everListed && !m.listed[e.Address] && !e.gone {
			e.gone = true
			m.counted = nil
		}
	}
}
