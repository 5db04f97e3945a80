package membership

import (
	"slices"
	"time"
)

// aloneWait is how long a node with seeds waits for an answer before it takes
// itself for the only node.
const aloneWait = 3 * time.Second

// joinState is the progress of a node that started or returned from a pause.
type joinState struct {
	started     time.Time
	joined      bool
	established bool   // joined at least once since the start
	requested   uint64 // first digest exchange after all members acknowledged; 0 for none
	first       bool   // the first digest exchange was sent
	complete    bool   // a reply to it brought no member that was not known
	vouched     bool   // that reply came from an established member
}

// Joined reports whether this node may use its units. A node that starts, or
// returns from a pause, first waits until each counted member has acknowledged it
// and a digest exchange after that brought no further member; the peers then count
// it. Members that are failed are waited for 10 minutes at most, as they are
// counted at most that long without the platform's list.
//
// The exchange of a starting node must be with a member that had joined before,
// since nodes that start together know nothing of a fleet that none of them
// reached. If there is no such member, the platform's list must show no address
// that is not known. A node without seeds that knows of no other node joins.
func (m *Machine) Joined() bool {
	return m.join.joined
}

func (m *Machine) stepJoin() []Outgoing {
	if m.join.joined {
		return nil
	}
	waited := m.now.Sub(m.join.started) >= failedHold
	missing := m.names(func(e *entry) bool {
		return e.State != Left && !e.gone && !e.acknowledged && !(waited && e.State == Failed)
	})
	if len(missing) > 0 {
		m.join.requested, m.join.complete, m.join.vouched = 0, false, false
		missing = slices.DeleteFunc(missing, func(name string) bool { return m.members[name].State == Failed })
		return m.pingMissing(missing)
	}
	if m.mayJoin() {
		m.join.joined, m.join.established = true, true
		return nil
	}
	if m.join.requested == 0 {
		m.join.requested = m.sequence + 1
	}
	return m.joinSync()
}

// mayJoin decides once all members have acknowledged this node.
func (m *Machine) mayJoin() bool {
	alone := m.countedSize() == 1
	switch {
	case !alone && !m.join.complete:
		return false
	case m.join.established && !alone || m.join.vouched:
		return true
	case m.listed == nil:
		return alone && (len(m.seeds) == 0 || m.join.established)
	case len(m.seeds) > 0 && m.now.Sub(m.join.started) < aloneWait:
		return false
	}
	return m.listKnown()
}

// listKnown reports whether each listed address belongs to a known member.
func (m *Machine) listKnown() bool {
	known := map[string]bool{m.self.Address: true}
	for _, e := range m.members {
		known[e.Address] = true
	}
	for address := range m.listed {
		if !known[address] {
			return false
		}
	}
	return true
}

// joinSync exchanges digests with an established member if there is one.
func (m *Machine) joinSync() []Outgoing {
	names := m.names(func(e *entry) bool { return e.State <= Suspect && e.established })
	if len(names) == 0 {
		return m.startSync()
	}
	e := m.members[names[m.random.IntN(len(names))]]
	return []Outgoing{m.envelope(e.Address, Message{SyncRequest: m.syncRequest()})}
}

// pingMissing pings some of the members that have not acknowledged this node.
// Failed members are pinged by pingFailed alone, to bound the bytes.
func (m *Machine) pingMissing(missing []string) []Outgoing {
	m.random.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
	out := []Outgoing{}
	for _, name := range missing[:min(joinPings, len(missing))] {
		e := m.members[name]
		sequence := m.nextSequence()
		m.probes[sequence] = &probe{target: name, deadline: m.now.Add(ackTimeout)}
		out = append(out, m.ping(e.Address, name, sequence, true))
	}
	return out
}

// syncFirst asks the first peer that responds for its tables.
func (m *Machine) syncFirst(reply string) []Outgoing {
	if m.join.joined || m.join.first {
		return nil
	}
	m.join.first = true
	return []Outgoing{m.envelope(reply, Message{SyncRequest: m.syncRequest()})}
}

// synced records a reply that brought no member that was not known.
// Replies to earlier requests, also to those of an earlier process of this name, do
// not count.
func (j *joinState) synced(sequence, last uint64, established bool) {
	if j.requested != 0 && sequence >= j.requested && sequence <= last {
		j.complete = true
		j.vouched = j.vouched || established
	}
}
