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

// Peers sends messages to other nodes.
type Peers interface {
	// Send queues a message without waiting.
	Send(to string, m message.Message)
	// Call sends a message and waits for the answer.
	Call(ctx context.Context, to string, m message.Message) (message.Message, error)
}

// Options is what a controller works with.
type Options struct {
	// Self is this node as the others see it.
	Self membership.Member
	// Seeds are peer addresses that are asked first.
	Seeds []string
	// Relay is the address on which this node takes over calls; may be empty.
	Relay     string
	Store     objectstore.Store
	Peers     Peers
	Published *atomic.Pointer[snapshot.Snapshot]
	// OnPublish is called after each new snapshot and must not block; may be nil.
	OnPublish func()
	// ProbeTransport makes health checks; each uses a connection of its own.
	ProbeTransport http.RoundTripper
	Random         *rand.Rand
	Log            zerolog.Logger
}

const (
	// tickInterval is how often counters are read and timers run.
	tickInterval = 100 * time.Millisecond
	// publishInterval is how long after a snapshot changes of targets wait for the next
	// one. It takes about 3 ms at 1,500 targets, so one for each of 100 facts a second
	// would take a third of a core. Targets that leave are flagged in their counters at
	// once. Changes of the fleet, the configuration and rollouts do not wait: a peer
	// that joins relies on its part of the limits being given up when it is answered.
	publishInterval = tickInterval
	// analysisInterval is how often outcomes are judged at this node.
	analysisInterval = time.Second
	// reportInterval is how often a node reports to the controller and the controller steps moves.
	reportInterval = 2 * time.Second
	// isolationTimeout is how long a node keeps serving without any peer or the platform.
	isolationTimeout = 5 * time.Second
	// soleNodeCheckDelay is the silence after which a node looks whether it knows of
	// other nodes; asking at each event would sort the members each time.
	soleNodeCheckDelay = time.Second
	// platformCallTimeout bounds a call on the platform that is not a watch.
	platformCallTimeout = 3 * time.Second
	// peerCallTimeout bounds a call on a peer.
	peerCallTimeout = 2 * time.Second
	// eventQueueSize is how many events may wait for the control goroutine.
	eventQueueSize = 1024
)
