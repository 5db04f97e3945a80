package membership

import (
	"slices"
	"time"
)

// soleNodeTimeout is how long a node with seeds waits for a reply before it may join as the only
// node.
const soleNodeTimeout = 3 * time.Second

// joinState is the join progress of a node after a start or a pause.
type joinState struct {
	started         time.Time
	joined          bool
	established     bool   // joined at least once since the process start
	minSyncSequence uint64 // first sync request after all members acknowledged; 0 if there is none
	initialSyncSent bool   // the first sync request to a responding peer was sent
	syncComplete    bool   // a reply since minSyncSequence contained no new member
	establishedPeer bool   // such a reply came from an established member
}

// Joined reports whether this node may use its units. After a start or a pause, a node first waits
// until each counted member has acknowledged it and a subsequent sync has returned no new member;
// the peers then count it. It waits for failed members for at most 10 minutes, which is also the
// time after which a VM list of the platform without them confirms that they are gone.
//
// A starting node must sync with a member that had joined before, because nodes that start together
// have no information on an existing fleet that none of them has reached. If there is no such
// member, all addresses in the platform's VM list must belong to members. Without a list, a
// starting node joins only if it has no seeds and no other counted member. After a pause, a node
// without other counted members then joins again even if it has seeds.
func (m *Machine) Joined() bool {
	return m.join.joined
}

// advanceJoin performs the next step of the join and returns the messages that it requires.
func (m *Machine) advanceJoin() []Outgoing {
	if m.join.joined {
		return nil
	}
	failedRetentionOver := m.now.Sub(m.join.started) >= failedRetention
	unacknowledged := m.memberNames(func(e *entry) bool {
		return e.State != Left && !e.confirmedStopped && !e.acknowledged && !(failedRetentionOver && e.State == Failed)
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

// canJoin reports whether this node may join. It is called only when advanceJoin has no member left
// to wait for.
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

// allListedAreMembers reports whether each listed address belongs to a member.
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

// startJoinSync sends a sync request to an established member if there is one, otherwise to any
// member that is alive.
func (m *Machine) startJoinSync() []Outgoing {
	names := m.memberNames(func(e *entry) bool { return e.State <= Suspect && e.established })
	if len(names) == 0 {
		return m.startSync()
	}
	e := m.members[names[m.random.IntN(len(names))]]
	return []Outgoing{m.envelope(e.Address, Message{SyncRequest: m.newSyncRequest()})}
}

// pingUnacknowledged pings up to joinPings of the members that have not acknowledged this node.
// Failed members are pinged by pingFailed only, to bound the traffic.
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

// requestInitialSync sends a sync request to the first peer that acknowledges a ping.
func (m *Machine) requestInitialSync(replyAddress string) []Outgoing {
	if m.join.joined || m.join.initialSyncSent {
		return nil
	}
	m.join.initialSyncSent = true
	return []Outgoing{m.envelope(replyAddress, Message{SyncRequest: m.newSyncRequest()})}
}

// recordSyncReply records a complete sync reply that contained no new member. Replies to earlier
// requests, including those of an earlier process of this name, are ignored.
func (j *joinState) recordSyncReply(sequence, lastSequence uint64, established bool) {
	if j.minSyncSequence != 0 && sequence >= j.minSyncSequence && sequence <= lastSequence {
		j.syncComplete = true
		j.establishedPeer = j.establishedPeer || established
	}
}
