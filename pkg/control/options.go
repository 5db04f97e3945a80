package control

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflychute/fireflychute/pkg/membership"
	"github.com/fireflychute/fireflychute/pkg/message"
	"github.com/fireflychute/fireflychute/pkg/objectstore"
	"github.com/fireflychute/fireflychute/pkg/snapshot"
)

// Peers exchanges messages with other nodes.
type Peers interface {
	// Send queues a message without blocking.
	Send(to string, m message.Message)
	// Call sends a message and waits for the reply.
	Call(ctx context.Context, to string, m message.Message) (message.Message, error)
}

// Options holds the settings and dependencies of a controller.
type Options struct {
	// Self describes this node to the other nodes.
	Self membership.Member
	// Seeds are the peer addresses that are contacted first.
	Seeds []string
	// Relay is the address at which this node accepts relayed calls; may be empty.
	Relay     string
	Store     objectstore.Store
	Peers     Peers
	Published *atomic.Pointer[snapshot.Snapshot]
	// OnPublish is called after each new snapshot and must not block; may be nil.
	OnPublish func()
	// HealthCheckTransport makes the health checks, each on a connection of its own.
	HealthCheckTransport http.RoundTripper
	Random               *rand.Rand
	Log                  zerolog.Logger
}

const (
	// tickInterval is the interval at which counters are read and timers run.
	tickInterval = 100 * time.Millisecond
	// publishInterval is the minimum time between a snapshot and the next one that is due only to
	// changes of targets. Building a snapshot takes about 3 ms at 1,500 targets, so one for each of
	// 100 facts a second would use a third of a core. Targets that leave are marked in their
	// counters at once. Changes of the fleet, the configuration and rollouts are published without
	// delay: a peer that joins relies on this node having given up the peer's part of the limits
	// when this node replies to it.
	publishInterval = tickInterval
	// analysisInterval is the interval of the canary analysis on this node.
	analysisInterval = time.Second
	// reportInterval is the interval at which a node reports to the leader and the leader
	// reconciles.
	reportInterval = 2 * time.Second
	// isolationTimeout is how long a node keeps serving without contact to any peer or the
	// platform.
	isolationTimeout = 5 * time.Second
	// soleNodeCheckDelay is the time without contact after which a node checks whether it knows any
	// other node. Checking at every event would sort the members each time.
	soleNodeCheckDelay = time.Second
	// platformCallTimeout limits a call to the platform other than a watch.
	platformCallTimeout = 3 * time.Second
	// peerCallTimeout limits a call to a peer.
	peerCallTimeout = 2 * time.Second
	// eventQueueSize is the capacity of the event queue of the control goroutine.
	eventQueueSize = 1024
)
