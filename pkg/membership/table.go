package membership

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"

	"github.com/fireflychute/fireflychute/pkg/message"
)

// entry is a row of the table of members.
type entry struct {
	Member
	since        time.Time // of the state; restarted after a pause of this process
	sends        int       // remaining sends of the entry
	revSends     int       // remaining sends of its revision
	acknowledged bool      // it acknowledged a ping of this node
	established  bool      // it joined the fleet since it started, as it says itself
	everListed   bool      // the platform's list has shown it
	gone         bool      // it is no longer counted
}

// merge takes over what is newer: a higher incarnation, then a higher state, and
// under one incarnation a higher
// revision.
func (m *Machine) merge(update Member) {
	if update.Name == m.self.Name {
		m.refute(update)
		return
	}
	e := m.members[update.Name]
	if e == nil {
		if len(m.members) < maxMembers && update.State <= Left {
			m.counted = nil
			m.members[update.Name] = &entry{Member: update, since: m.now, sends: m.sendLimit(), everListed: m.listed[update.Address]}
		}
		return
	}
	if update.Revision > e.Revision && update.Incarnation == e.Incarnation {
		e.Revision, e.revSends = update.Revision, revisionSends
	}
	if update.Incarnation < e.Incarnation || update.Incarnation == e.Incarnation && update.State <= e.State || update.State > Left {
		return
	}
	if update.Incarnation > e.Incarnation {
		// The member may be a new process that does not know this node yet and has
		// not applied what the previous one had.
		e.acknowledged, e.established, e.Revision = false, false, 0
	}
	e.Address, e.DataCentre = update.Address, update.DataCentre
	e.Incarnation, e.Revision = update.Incarnation, max(update.Revision, e.Revision)
	m.setState(e, update.State)
}

// refute answers a statement that this node does not run, or that an earlier
// process of this name had a higher incarnation.
func (m *Machine) refute(update Member) {
	if update.Incarnation > m.self.Incarnation || update.Incarnation == m.self.Incarnation && update.State != Alive {
		m.self.Incarnation = update.Incarnation + 1
		m.selfSends = m.sendLimit()
	}
}

func (m *Machine) setState(e *entry, state State) {
	m.counted = nil
	if e.State != state {
		e.since = m.now
	}
	if state == Alive {
		e.gone = false
	}
	e.State, e.sends = state, m.sendLimit()
}

// expireMembers fails suspects and forgets members that left or are gone.
func (m *Machine) expireMembers() {
	for name, e := range m.members {
		age := m.now.Sub(e.since)
		switch {
		case e.State == Suspect && age >= suspectTimeout:
			m.setState(e, Failed)
		case (e.State == Left || e.gone) && age >= tombstoneTime:
			m.counted = nil
			delete(m.members, name)
		}
	}
}

// sendLimit is how often a node passes on an update. It grows with the logarithm
// of the fleet, as the number of rounds that an epidemic needs does.
func (m *Machine) sendLimit() int {
	return 3 + bits.Len(uint(len(m.members)))
}

// names returns the sorted names of the members that match.
func (m *Machine) names(match func(*entry) bool) []string {
	names := []string{}
	for name, e := range m.members {
		if match(e) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// pick returns up to count random live members other than the given one.
func (m *Machine) pick(count int, except string) []*entry {
	names := m.names(func(e *entry) bool { return e.State == Alive && e.Name != except })
	m.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	picked := []*entry{}
	for _, name := range names[:min(count, len(names))] {
		picked = append(picked, m.members[name])
	}
	return picked
}

func (m *Machine) mergeApplied(applied message.Applied) {
	e := m.members[applied.Name]
	if e != nil && applied.Incarnation == e.Incarnation && applied.Revision > e.Revision {
		e.Revision, e.revSends = applied.Revision, revisionSends
	}
}

func sortByName(members []Member) {
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
}

func sortedKeys[K cmp.Ordered, V any](table map[K]V) []K {
	return slices.Sorted(maps.Keys(table))
}
