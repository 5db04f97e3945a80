package membership

import (
	"slices"
	"time"
)

// peerFleetSizeMaxAge is how long a fleet size reported by a peer is used.
const peerFleetSizeMaxAge = time.Minute

// CountedNodes returns the sorted names of the nodes between which limits are divided, this node
// included. A member is counted until it leaves gracefully or is confirmed to be gone (see
// SetListedNodes); suspected, failed and partitioned members are counted. The result is cached
// until it changes, because it is read on each event, and must not be modified.
func (m *Machine) CountedNodes(_ time.Time) []string {
	if m.countedNodes == nil {
		m.countedNodes = append(m.memberNames(func(e *entry) bool { return e.State != Left && !e.confirmedStopped }), m.self.Name)
		slices.Sort(m.countedNodes)
	}
	return m.countedNodes
}

func (m *Machine) countedSize() int {
	size := 1
	for _, e := range m.members {
		if e.State != Left && !e.confirmedStopped {
			size++
		}
	}
	return size
}

// FleetSize returns the larger of the number of counted nodes and the fleet size last reported by a
// peer, if that report is less than a minute old.
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

// SetListedNodes records the peer addresses of the nodes in the platform's VM list, including nodes
// that are leaving. A failed member is confirmed gone if it was listed before and no longer is, or
// if it has been failed for 10 minutes and is not listed. A member that responds is never
// considered gone, since the list lags.
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
			e.wasListed, e.confirmedStopped = true, false
		case e.State == Failed && now.Sub(e.stateSince) >= failedRetention:
			e.confirmedStopped = true
		}
	}
	m.confirmStopped()
}

// confirmStopped marks failed members that were listed and no longer are. It also runs on each
// tick, since a node may disappear from the list before its failure is detected.
func (m *Machine) confirmStopped() {
	for _, e := range m.members {
		if e.State == Failed && e.wasListed && !m.listedAddresses[e.Address] && !e.confirmedStopped {
			e.confirmedStopped = true
			m.countedNodes = nil
		}
	}
}
