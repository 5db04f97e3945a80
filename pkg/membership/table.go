package membership

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"

	"github.com/fireflychute/fireflychute/pkg/message"
)

// entry is one entry of the member table with its local state.
type entry struct {
	Member
	stateSince            time.Time // when State was set; shifted by a pause of this process
	transmitsLeft         int       // remaining gossip transmissions of the entry
	revisionTransmitsLeft int       // remaining gossip transmissions of its revision
	acknowledged          bool      // the member acknowledged a ping from this node
	established           bool      // the member reported that it has joined since its start
	wasListed             bool      // the platform's VM list has contained the member
	confirmedStopped      bool      // the member has stopped and is no longer counted
}

// mergeMember applies an update if it has a higher incarnation, or a higher state for the same
// incarnation. A higher revision for the same incarnation is applied independently of the state.
func (m *Machine) mergeMember(update Member) {
	if update.Name == m.self.Name {
		m.refute(update)
		return
	}
	e := m.members[update.Name]
	if e == nil {
		if len(m.members) < maxMembers && update.State <= Left {
			m.countedNodes = nil
			m.members[update.Name] = &entry{Member: update, stateSince: m.now, transmitsLeft: m.transmitLimit(), wasListed: m.listedAddresses[update.Address]}
		}
		return
	}
	if update.Revision > e.Revision && update.Incarnation == e.Incarnation {
		e.Revision, e.revisionTransmitsLeft = update.Revision, revisionTransmitLimit
	}
	if update.Incarnation < e.Incarnation || update.Incarnation == e.Incarnation && update.State <= e.State || update.State > Left {
		return
	}
	if update.Incarnation > e.Incarnation {
		// The member may be a new process without this node in its table, which has not applied
		// the revision of the previous process.
		e.acknowledged, e.established, e.Revision = false, false, 0
	}
	e.Address, e.DataCentre = update.Address, update.DataCentre
	e.Incarnation, e.Revision = update.Incarnation, max(update.Revision, e.Revision)
	m.setState(e, update.State)
}

// refute raises this node's incarnation when an update claims that this node is not alive, or that
// an earlier process of this name had a higher incarnation.
func (m *Machine) refute(update Member) {
	if update.Incarnation > m.self.Incarnation || update.Incarnation == m.self.Incarnation && update.State != Alive {
		m.self.Incarnation = update.Incarnation + 1
		m.selfTransmitsLeft = m.transmitLimit()
	}
}

func (m *Machine) setState(e *entry, state State) {
	m.countedNodes = nil
	if e.State != state {
		e.stateSince = m.now
	}
	if state == Alive {
		e.confirmedStopped = false
	}
	e.State, e.transmitsLeft = state, m.transmitLimit()
}

// expireMembers marks suspects as failed after suspectTimeout, and deletes members that left or are
// gone after tombstoneRetention.
func (m *Machine) expireMembers() {
	for name, e := range m.members {
		age := m.now.Sub(e.stateSince)
		switch {
		case e.State == Suspect && age >= suspectTimeout:
			m.setState(e, Failed)
		case (e.State == Left || e.confirmedStopped) && age >= tombstoneRetention:
			m.countedNodes = nil
			delete(m.members, name)
		}
	}
}

// transmitLimit returns how often a node gossips an update. It grows with the logarithm of the
// number of members, as does the number of rounds that an epidemic broadcast needs.
func (m *Machine) transmitLimit() int {
	return 3 + bits.Len(uint(len(m.members)))
}

// memberNames returns the sorted names of the matching members.
func (m *Machine) memberNames(match func(*entry) bool) []string {
	names := []string{}
	for name, e := range m.members {
		if match(e) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// sampleAlive returns up to count random members in state Alive, without the excluded one.
func (m *Machine) sampleAlive(count int, excluded string) []*entry {
	names := m.memberNames(func(e *entry) bool { return e.State == Alive && e.Name != excluded })
	m.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	sampled := []*entry{}
	for _, name := range names[:min(count, len(names))] {
		sampled = append(sampled, m.members[name])
	}
	return sampled
}

func (m *Machine) mergeApplied(applied message.Applied) {
	e := m.members[applied.Name]
	if e != nil && applied.Incarnation == e.Incarnation && applied.Revision > e.Revision {
		e.Revision, e.revisionTransmitsLeft = applied.Revision, revisionTransmitLimit
	}
}

func sortByName(members []Member) {
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
}

func sortedKeys[K cmp.Ordered, V any](table map[K]V) []K {
	return slices.Sorted(maps.Keys(table))
}
