package membership

import (
	"time"

	"github.com/fireflychute/fireflychute/pkg/message"
)

// Message is what nodes exchange.
type Message = message.Message

// State of a member. Of two states under the same incarnation the higher holds.
type State uint8

// States of a member.
const (
	Alive State = iota
	Suspect
	Failed
	Left
)

// Member is what is known of one node.
type Member struct {
	Name, Address, DataCentre string
	Incarnation, Revision     uint64
	State                     State
}

// Fact is a value by key. The higher (Epoch, Version) replaces the lower.
type Fact struct {
	Key            string
	Epoch, Version uint64
	Value          []byte
}

// Outgoing is a message to send to a peer address.
type Outgoing struct {
	To      string
	Message Message
}

// Times of the protocol.
const (
	// GossipInterval is the time between two pings of a node.
	GossipInterval = 200 * time.Millisecond
	ackTimeout     = 300 * time.Millisecond
	// indirectTimeout leaves room for two more network round trips and for one
	// interval of the relaying node.
	indirectTimeout = 500 * time.Millisecond
	suspectTimeout  = 2 * time.Second
	syncInterval    = 10 * time.Second
	seedInterval    = time.Second
	// failedPingInterval is the time between pings to a failed member. Without
	// them two halves of a partition would never find each other again.
	failedPingInterval = time.Second
	// pauseThreshold between two ticks means that this process did not run. Timers that
	// ended meanwhile say nothing about the other nodes.
	pauseThreshold = time.Second
	// failedRetention is how long a failed member stays counted without the platform's
	// list confirming that it is gone.
	failedRetention = 10 * time.Minute
	// tombstoneRetention is how long members that left or are gone stay in the table,
	// so that outdated peers do not bring them back.
	tombstoneRetention = time.Hour
)

// Sizes of the protocol.
const (
	indirectPeers = 3
	pushFanout    = 3
	forwardFanout = 2
	leavePeers    = 8
	// seedPings bounds the addresses pinged at once by a node that knows no other.
	seedPings = 5
	// pushBurst bounds pushes at once; one more is allowed per interval. Beyond
	// that, facts travel on pings only, which bounds the bytes in a storm.
	pushBurst = 8
	// joinPings is the number of members that a joining node pings per interval.
	joinPings = 10
	// maxGossipBytes bounds the updates in one message; one update that is larger
	// travels alone. 10 messages a second in each direction stay within 10 KB/s.
	maxGossipBytes = 420
	// MaxFactBytes bounds key and value of a fact. Publish drops larger facts.
	MaxFactBytes = 1024
	// MaxFacts bounds the map of facts: two facts per target at 1,500 targets,
	// and room for rollouts.
	MaxFacts = 4096
	// maxMembers is far above the largest fleet; it bounds memory only.
	maxMembers   = 1024
	maxSyncBytes = 12 << 10
	syncBuckets  = 16
	// revisionTransmitLimit is how often a node passes on an applied revision. Each
	// revision is followed by one such update per node, so they are sent less
	// often than other updates; the digest exchange delivers the rest.
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
