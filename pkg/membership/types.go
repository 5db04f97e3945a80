package membership

import (
	"time"

	"github.com/fireflychute/fireflychute/pkg/message"
)

// Message is the message exchanged between nodes.
type Message = message.Message

// State is the liveness of a member. For the same incarnation, a higher state overrides a lower
// one.
type State uint8

// Member states in ascending precedence.
const (
	Alive State = iota
	Suspect
	Failed
	Left
)

// Member is the replicated state of one node.
type Member struct {
	Name, Address, DataCentre string
	Incarnation, Revision     uint64
	State                     State
}

// Fact is a replicated key-value pair. The higher (Epoch, Version) replaces the lower.
type Fact struct {
	Key            string
	Epoch, Version uint64
	Value          []byte
}

// Outgoing is a message addressed to a peer.
type Outgoing struct {
	To      string
	Message Message
}

// Protocol intervals and timeouts.
const (
	// GossipInterval is the time between two pings sent by a node.
	GossipInterval = 200 * time.Millisecond
	ackTimeout     = 300 * time.Millisecond
	// indirectTimeout allows for two more network round trips and for one gossip interval of the
	// relaying node.
	indirectTimeout = 500 * time.Millisecond
	suspectTimeout  = 2 * time.Second
	syncInterval    = 10 * time.Second
	seedInterval    = time.Second
	// failedPingInterval is the time between pings to failed members. Without these pings the two
	// sides of a partition would not discover each other after it heals.
	failedPingInterval = time.Second
	// pauseThreshold is the time between two ticks above which this process is assumed to have
	// been paused. Timeouts that expired during a pause are no evidence of failed members.
	pauseThreshold = time.Second
	// failedRetention is how long a failed member that the platform's VM list never contained
	// stays counted; the first list without it after that time confirms that it is gone. A failed
	// member that was listed is gone as soon as the list drops it.
	failedRetention = 10 * time.Minute
	// tombstoneRetention is how long members that left or are gone stay in the table, so that
	// peers with outdated tables do not reintroduce them.
	tombstoneRetention = time.Hour
)

// Protocol sizes and limits.
const (
	indirectPeers = 3
	pushFanout    = 3
	forwardFanout = 2
	leavePeers    = 8
	// seedPings bounds the addresses pinged at once by a node that has no running member in its
	// table.
	seedPings = 5
	// pushBurst is the capacity of the token bucket for pushes, which is refilled by one per gossip
	// interval. Without a token, facts are piggybacked on pings only, which bounds the traffic
	// during bursts of changes.
	pushBurst = 8
	// joinPings is the maximum number of members that a joining node pings per gossip interval.
	joinPings = 10
	// maxGossipBytes bounds the updates in one message; a larger update is sent alone. With this
	// bound, 10 messages per second in each direction stay within 10 KB/s.
	maxGossipBytes = 420
	// MaxFactBytes bounds the total size of a fact's key and value. Publish drops larger facts.
	MaxFactBytes = 1024
	// MaxFacts bounds the number of facts: two facts per target for 1,500 targets, with headroom
	// for rollouts.
	MaxFacts = 4096
	// maxMembers is far above the size of the largest fleet; it only bounds memory.
	maxMembers   = 1024
	maxSyncBytes = 12 << 10
	syncBuckets  = 16
	// revisionTransmitLimit is how often a node gossips an applied revision. Each new revision
	// causes one such update per node, so they are transmitted less often than other updates;
	// anti-entropy delivers those that gossip misses.
	revisionTransmitLimit = 4
)

func (m Member) toMessage() message.Member {
	return message.Member{
		Name: m.Name, Address: m.Address, DataCentre: m.DataCentre,
		Incarnation: m.Incarnation, Revision: m.Revision, State: uint8(m.State),
	}
}

func memberFromMessage(received message.Member) Member {
	return Member{
		Name: received.Name, Address: received.Address, DataCentre: received.DataCentre,
		Incarnation: received.Incarnation, Revision: received.Revision, State: State(received.State),
	}
}

func (f Fact) toMessage() message.Fact {
	return message.Fact{Key: f.Key, Epoch: f.Epoch, Version: f.Version, Value: f.Value}
}

func factFromMessage(received message.Fact) Fact {
	return Fact{Key: received.Key, Epoch: received.Epoch, Version: received.Version, Value: received.Value}
}

func (f Fact) newerThan(other Fact) bool {
	if f.Epoch != other.Epoch {
		return f.Epoch > other.Epoch
	}
	return f.Version > other.Version
}

func (f Fact) size() int {
	return len(f.Key) + len(f.Value)
}
