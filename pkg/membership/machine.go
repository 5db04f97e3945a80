package membership

import (
	"math/rand/v2"
	"time"

	"github.com/fireflychute/fireflychute/pkg/message"
)

// Machine is the membership protocol state of one node.
type Machine struct {
	self         Member
	left         bool
	seeds        []string
	random       *rand.Rand
	now          time.Time
	lastTick     time.Time
	lastReceived time.Time

	members      map[string]*entry
	countedNodes []string // cached result of CountedNodes; nil when invalid
	probeQueue   []string // members not yet pinged in this round
	probes       map[uint64]*probe
	relays       map[uint64]relay
	facts        factTable

	lastSequence          uint64
	nextGossip            time.Time
	nextSync              time.Time
	nextSeedPing          time.Time
	nextFailedPing        time.Time
	pushTokens            int
	selfTransmitsLeft     int // remaining gossip transmissions of this node's entry
	revisionTransmitsLeft int // remaining gossip transmissions of this node's revision
	peerFleetSize         int // last fleet size reported by a peer
	peerFleetSizeAt       time.Time
	join                  joinState
	listedAddresses       map[string]bool // peer addresses in the last VM list; nil before the first
}

// probe is a ping that has not been acknowledged yet.
type probe struct {
	target   string
	deadline time.Time
	indirect bool
}

// relay is an indirect ping sent on behalf of another node.
type relay struct {
	requester         string
	requesterSequence uint64
	target            string
	deadline          time.Time
}

// New returns the state of a starting node whose member table is empty. The seeds are peer
// addresses. The incarnation should be higher than at the previous start; if it is not, the node
// raises it when a peer reports a higher one.
func New(self Member, seeds []string, random *rand.Rand, now time.Time) *Machine {
	self.State = Alive
	m := &Machine{
		self: self, random: random, now: now, lastTick: now, nextGossip: now, nextSeedPing: now,
		members: map[string]*entry{}, probes: map[uint64]*probe{}, relays: map[uint64]relay{},
		// Replies to an earlier process of this name may still arrive; a random base
		// keeps their sequence numbers apart.
		lastSequence: uint64(random.Uint32()) << 24,
		facts:        newFactTable(), pushTokens: pushBurst,
		nextSync: now.Add(time.Duration(random.Int64N(int64(syncInterval)))),
	}
	for _, seed := range seeds {
		if seed != self.Address {
			m.seeds = append(m.seeds, seed)
		}
	}
	m.join.started = now
	return m
}

// Tick runs expired timers and returns the messages that are due. It should be called at least once
// per GossipInterval.
func (m *Machine) Tick(now time.Time) []Outgoing {
	m.now = now
	if m.left {
		return nil
	}
	if now.Sub(m.lastTick) > pauseThreshold {
		m.resume(now.Sub(m.lastTick))
	}
	m.lastTick = now
	out := m.expireProbes()
	m.expireMembers()
	m.confirmStopped()
	if now.Before(m.nextGossip) {
		return out
	}
	m.nextGossip = now.Add(GossipInterval)
	m.pushTokens = min(m.pushTokens+1, pushBurst)
	out = append(out, m.pingNext()...)
	out = append(out, m.pingSeeds()...)
	out = append(out, m.pingFailed()...)
	out = append(out, m.advanceJoin()...)
	if !now.Before(m.nextSync) {
		m.nextSync = now.Add(syncInterval)
		out = append(out, m.startSync()...)
	}
	return out
}

// Handle processes a message from the named peer and returns the messages to send in response.
func (m *Machine) Handle(now time.Time, from string, received Message) []Outgoing {
	m.now = now
	if m.left || from == m.self.Name {
		return nil
	}
	m.lastReceived = now
	replyAddress := received.Address
	switch {
	case received.Ping != nil:
		return m.handlePing(from, replyAddress, received.Ping)
	case received.Ack != nil:
		return m.handleAck(from, replyAddress, received.Ack)
	case received.PingRequest != nil:
		return m.handlePingRequest(from, replyAddress, received.PingRequest)
	case received.SyncRequest != nil:
		return m.handleSyncRequest(replyAddress, received.SyncRequest)
	case received.SyncReply != nil:
		return m.handleSyncReply(replyAddress, received.SyncReply)
	}
	return nil
}

// Members returns all nodes in the member table, this one included, sorted by name.
func (m *Machine) Members() []Member {
	members := []Member{m.self}
	for _, e := range m.members {
		members = append(members, e.Member)
	}
	sortByName(members)
	return members
}

// Member returns the entry of another node by name.
func (m *Machine) Member(name string) (Member, bool) {
	e, ok := m.members[name]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}

// SetRevision records the configuration revision that this node applied. Lower revisions are
// ignored.
func (m *Machine) SetRevision(revision uint64) {
	if revision > m.self.Revision {
		m.self.Revision = revision
		m.revisionTransmitsLeft = m.transmitLimit()
	}
}

// LastReceived returns when the last message from any peer arrived, or the zero time if none did.
func (m *Machine) LastReceived() time.Time {
	return m.lastReceived
}

// Leave announces that this node leaves. The node must not use its units afterwards, since peers no
// longer count it. The machine ignores ticks and messages after this call.
func (m *Machine) Leave(now time.Time) []Outgoing {
	m.now = now
	m.self.State = Left
	out := []Outgoing{}
	for _, e := range m.sampleAlive(leavePeers, "") {
		out = append(out, m.ping(e.Address, e.Name, 0, true))
	}
	m.left = true
	return out
}

// resume restarts the timers after a pause of this process and joins again, since nodes may have
// joined or stopped counting this one during the pause.
func (m *Machine) resume(gap time.Duration) {
	clear(m.probes)
	clear(m.relays)
	for _, e := range m.members {
		e.stateSince = e.stateSince.Add(gap)
		e.acknowledged = false
	}
	m.join = joinState{started: m.now, established: m.join.established}
	m.selfTransmitsLeft = m.transmitLimit()
}

func (m *Machine) handlePing(from, replyAddress string, ping *message.Ping) []Outgoing {
	out := m.mergeGossip(from, ping.Gossip)
	if ping.Sequence == 0 || ping.Target != "" && ping.Target != m.self.Name {
		return out
	}
	e := m.members[from]
	includeSelf := ping.Target == "" || e == nil || !e.acknowledged || containsMember(ping.Gossip, m.self.Name)
	ack := &message.Ack{Sequence: ping.Sequence, Target: m.self.Name, Gossip: m.buildGossip(from, includeSelf)}
	return append(out, m.envelope(replyAddress, Message{Ack: ack}))
}

func (m *Machine) handleAck(from, replyAddress string, ack *message.Ack) []Outgoing {
	out := m.mergeGossip(from, ack.Gossip)
	if r, ok := m.relays[ack.Sequence]; ok && r.target == ack.Target {
		delete(m.relays, ack.Sequence)
		relayed := &message.Ack{Sequence: r.requesterSequence, Target: r.target}
		return append(out, m.envelope(r.requester, Message{Ack: relayed}))
	}
	p, ok := m.probes[ack.Sequence]
	if !ok || p.target != "" && p.target != ack.Target {
		return out
	}
	delete(m.probes, ack.Sequence)
	if e := m.members[from]; e != nil && from == ack.Target {
		e.acknowledged = true
	}
	return append(out, m.requestInitialSync(replyAddress)...)
}

func (m *Machine) handlePingRequest(from, replyAddress string, request *message.PingRequest) []Outgoing {
	out := m.mergeGossip(from, request.Gossip)
	ping := m.ping(request.Address, request.Target, m.nextSequence(), false)
	m.relays[m.lastSequence] = relay{
		requester: replyAddress, requesterSequence: request.Sequence, target: request.Target,
		deadline: m.now.Add(indirectTimeout),
	}
	return append(out, ping)
}

func (m *Machine) nextSequence() uint64 {
	m.lastSequence++
	return m.lastSequence
}

func (m *Machine) envelope(to string, body Message) Outgoing {
	body.From, body.Address = m.self.Name, m.self.Address
	return Outgoing{To: to, Message: body}
}

// ping builds a ping; a sequence of 0 requests no ack.
func (m *Machine) ping(to, target string, sequence uint64, includeSelf bool) Outgoing {
	body := &message.Ping{Sequence: sequence, Target: target, Gossip: m.buildGossip(target, includeSelf)}
	return m.envelope(to, Message{Ping: body})
}

func containsMember(gossip *message.Gossip, name string) bool {
	if gossip == nil {
		return false
	}
	for _, member := range gossip.Members {
		if member.Name == name {
			return true
		}
	}
	return false
}
