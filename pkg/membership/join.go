package membership

import (
	"slices"
	"time"
)

// soleNodeTimeout is how long a node with seeds waits for an answer before it takes
// itself for the only node.
const soleNodeTimeout = 3 * time.Second

// joinState is the progress of a node that started or returned from a pause.
type joinState struct {
	started         time.Time
	joined          bool
	established     bool   // joined at least once since the start
	minSyncSequence uint64 // first digest exchange after all members acknowledged; 0 for none
	initialSyncSent bool   // the first digest exchange was sent
	syncComplete    bool   // a reply to it brought no member that was not known
	establishedPeer bool   // that reply came from an established member
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

func (m *Machine) advanceJoin() []Outgoing {
	if m.join.joined {
		return nil
	}
	failedRetentionOver := m.now.Sub(m.join.started) >= failedRetention
	unacknowledged := m.memberNames(func(e *entry) bool {
		return e.State != Left && !e.confirmedGone && !e.acknowledged && !(failedRetentionOver && e.State == Failed)
	})
	if len(unacknowledged) > 0 {
		m.join.minSyncSequence, m.join.syncComplete, m.join.establishedPeer = 0, false, false
		unacknowledged = slices.DeleteFunc(unacknowledged, func(name string) bool { return m.members[name].State == Failed })
		return m.pingUnacknowledged(unacknowledged)
	}
	if m.canJoin() {
		m.join.joined, m.join.established = true, true
		return nil
	}
	if m.join.minSyncSequence == 0 {
		m.join.minSyncSequence = m.lastSequence + 1
	}
	return m.startJoinSync()
}

// canJoin decides once all members have acknowledged this node.
func (m *Machine) canJoin() bool {
	isSoleNode := m.countedSize() == 1
	switch {
	case !isSoleNode && !m.join.syncComplete:
		return false
	case m.join.established && !isSoleNode || m.join.establishedPeer:
		return true
	case m.listedAddresses == nil:
		return isSoleNode && (len(m.seeds) == 0 || m.join.established)
	case len(m.seeds) > 0 && m.now.Sub(m.join.started) < soleNodeTimeout:
		return false
	}
	return m.allListedAreMembers()
}

// allListedAreMembers reports whether each listed address belongs to a known member.
func (m *Machine) allListedAreMembers() bool {
	memberAddresses := map[string]bool{m.self.Address: true}
	for _, e := range m.members {
		memberAddresses[e.Address] = true
	}
	for address := range m.listedAddresses {
		if !memberAddresses[address] {
			return false
		}
	}
	return true
}

// startJoinSync exchanges digests with an established member if there is one.
func (m *Machine) startJoinSync() []Outgoing {
	names := m.memberNames(func(e *entry) bool { return e.State <= Suspect && e.established })
	if len(names) == 0 {
		return m.startSync()
	}
	e := m.members[names[m.random.IntN(len(names))]]
	return []Outgoing{m.envelope(e.Address, Message{SyncRequest: m.newSyncRequest()})}
}

// pingUnacknowledged pings some of the members that have not acknowledged this node.
// Failed members are pinged by pingFailed alone, to bound the bytes.
func (m *Machine) pingUnacknowledged(unacknowledged []string) []Outgoing {
	m.random.Shuffle(len(unacknowledged), func(i, j int) { unacknowledged[i], unacknowledged[j] = unacknowledged[j], unacknowledged[i] })
	out := []Outgoing{}
	for _, name := range unacknowledged[:min(joinPings, len(unacknowledged))] {
		e := m.members[name]
		sequence := m.nextSequence()
		m.probes[sequence] = &probe{target: name, deadline: m.now.Add(ackTimeout)}
		out = append(out, m.ping(e.Address, name, sequence, true))
	}
	return out
}

// requestInitialSync asks the first peer that responds for its tables.
func (m *Machine) requestInitialSync(replyAddress string) []Outgoing {
	if m.join.joined || m.join.initialSyncSent {
		return nil
	}
	m.join.initialSyncSent = true
	return []Outgoing{m.envelope(replyAddress, Message{SyncRequest: m.newSyncRequest()})}
}

// recordSyncReply records a reply that brought no member that was not known.
// Replies to earlier requests, also to those of an earlier process of this name, do
// not count.
func (j *joinState) recordSyncReply(sequence, lastSequence uint64, established bool) {
	if j.minSyncSequence != 0 && sequence >= j.minSyncSequence && sequence <= lastSequence {
		j.syncComplete = true
		j.establishedPeer = j.establishedPeer || established
	}
}
