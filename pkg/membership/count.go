package membership

import (
	"slices"
	"time"
)

// peerFleetSizeMaxAge is how long a fleet size reported by a peer is assumed.
const peerFleetSizeMaxAge = time.Minute

// CountedNodes returns the names by which limits are divided, sorted, this node
// included. A member is counted until it left gracefully or is known to be gone
// (see ListedNodes); a suspected, failed or partitioned member is counted. The
// result is kept until it changes, since it is asked for at each event; it must not
// be modified.
func (m *Machine) CountedNodes(_ time.Time) []string {
	if m.countedNodes == nil {
		m.countedNodes = append(m.memberNames(func(e *entry) bool { return e.State != Left && !e.confirmedGone }), m.self.Name)
		slices.Sort(m.countedNodes)
	}
	return m.countedNodes
}

func (m *Machine) countedSize() int {
	size := 1
	for _, e := range m.members {
		if e.State != Left && !e.confirmedGone {
			size++
		}
	}
	return size
}

// FleetSize returns the larger of the counted fleet and the last fleet size heard
// from a peer within a minute.
func (m *Machine) FleetSize(now time.Time) int {
	size := m.countedSize()
	if now.Sub(m.peerFleetSizeAt) < peerFleetSizeMaxAge {
		return max(size, m.peerFleetSize)
	}
	return size
}

func (m *Machine) recordPeerFleetSize(counted int) {
	m.peerFleetSize, m.peerFleetSizeAt = counted, m.now
}

// SetListedNodes takes the peer addresses of the nodes in the platform's list of VMs,
// those that are leaving included. A failed member is gone when it was listed
// before and no longer is, or when it has been failed for 10 minutes and is not
// listed. A member that responds is never gone, since the list lags.
func (m *Machine) SetListedNodes(now time.Time, addresses []string) {
	m.now = now
	m.countedNodes = nil
	m.listedAddresses = map[string]bool{}
	for _, address := range addresses {
		m.listedAddresses[address] = true
	}
	for _, e := range m.members {
		switch {
		case m.listedAddresses[e.Address]:
			e.wasListed, e.confirmedGone = true, false
		case e.State == Failed && now.Sub(e.stateSince) >= failedRetention:
			e.confirmedGone = true
		}
	}
	m.confirmGone()
}

// confirmGone marks the failed members that were listed and no longer are. The
// list may drop a node before the node is found to have failed.
func (m *Machine) confirmGone() {
	for _, e := range m.members {
		if e.State == Failed && e.wasListed && !m.listedAddresses[e.Address] && !e.confirmedGone {
			e.confirmedGone = true
			m.countedNodes = nil
		}
	}
}
