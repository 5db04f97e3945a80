package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/fireflychute/fireflychute/pkg/canary"
	"github.com/fireflychute/fireflychute/pkg/catalog"
	"github.com/fireflychute/fireflychute/pkg/follow"
	"github.com/fireflychute/fireflychute/pkg/peer"
	"github.com/fireflychute/fireflychute/pkg/quota"
	"github.com/fireflychute/fireflychute/pkg/replica"
	"github.com/fireflychute/fireflychute/pkg/revision"
	"github.com/fireflychute/fireflychute/pkg/topology"
	"github.com/fireflychute/fireflychute/pkg/transport"
)

const (
	// tickInterval is the period of the control goroutine's timer.
	tickInterval = 100 * time.Millisecond
	// staleThreshold is the age of the last contact with the store, direct or through other
	// nodes, above which a node contacts the store itself.
	staleThreshold = 4 * time.Second
	// seedWait is how long a starting node waits for its seed nodes before it reads the
	// store itself; seeds that are up reply within this time. Without the wait each start
	// costs a read of every kind. firstStartSeedWait applies when the whole fleet starts for
	// the first time, before there is traffic.
	seedWait           = 200 * time.Millisecond
	firstStartSeedWait = 600 * time.Millisecond
	// maxStartWait is how long a starting node waits for recent data before it serves
	// with the data that its peers have.
	maxStartWait = 3 * time.Second
	// Below either limit a node is weak: it is chosen last as a watcher, so that it normally
	// does not serve changes to others.
	weakCores    = 0.25 // of a core
	weakLinkMbps = 50
)

// controller owns the control state of the node. Only the control goroutine, which executes
// the functions in inbox, accesses that state.
type controller struct {
	options   Options
	log       zerolog.Logger
	published *atomic.Pointer[topology.Topology]
	client    *transport.Client
	limits    *quota.Table
	units     *quota.Allocator
	// notifiedLimits is the change count of the limits of which waiting fetches were notified.
	notifiedLimits uint64
	outcomes       *canary.Outcomes
	inbox          chan func()
	// drained is closed when the last request of a stopping node has ended, or when the time
	// to wait for it is over.
	drained chan struct{}

	replica *replica.Replica
	builder *topology.Builder
	// dirty is set when the replica has changes that are not yet published.
	dirty bool
	view  view

	peers        *peer.Client
	replyEncoder replyEncoder
	seeds        []string
	self         catalog.Node
	// followCancels ends the fetches from each followed node, by peer address.
	followCancels map[string]context.CancelFunc
	// sourceStates holds the states of other nodes as sources of changes, by node name.
	sourceStates map[string]follow.SourceState
	started      time.Time
	// storeSeenAt is when the store was last reached, by this node or by one that it follows.
	storeSeenAt time.Time
	// storeEra is a revision of the newest era in which the store has answered.
	storeEra revision.Revision
	// sourceSeenAt is when a followed node last replied, even if its data were stale.
	sourceSeenAt time.Time

	watch        watchState
	registration writeState
	rollouts     rolloutState

	stats controlStats

	changedMu sync.Mutex
	// changed is closed and replaced at each change of the replica.
	changed chan struct{}
}

func newController(options Options, published *atomic.Pointer[topology.Topology], client *transport.Client, limits *quota.Table, units *quota.Allocator) *controller {
	settings := &options.Settings
	return &controller{
		options: options, log: options.Log, published: published, client: client,
		limits: limits, units: units, notifiedLimits: limits.ChangeCount(),
		outcomes: canary.NewOutcomes(),
		inbox:    make(chan func(), 64), drained: make(chan struct{}),
		replica: replica.New(), builder: topology.NewBuilder(settings.Node, settings.DataCentre, settings.Regions),
		view:  view{targets: map[string]decodedTarget{}, decoded: map[replica.Kind]uint64{}},
		peers: peer.NewClient(settings.Node, nil), seeds: settings.Seeds,
		self: catalog.Node{
			Name: settings.Node, Address: settings.PeerListen, DataCentre: settings.DataCentre,
			Incarnation: rand.Int64N(1 << 52),
			Weak:        settings.Cores < weakCores || settings.LinkMbps < weakLinkMbps,
		},
		started:       time.Now(),
		followCancels: map[string]context.CancelFunc{}, sourceStates: map[string]follow.SourceState{},
		rollouts: newRolloutState(), changed: make(chan struct{}),
	}
}

// run is the loop of the control goroutine; it returns when the context ends.
func (c *controller) run(ctx context.Context) error {
	server, err := peer.Listen(c.options.Settings.PeerListen, nil, c.handleMessage)
	if err != nil {
		return err
	}
	defer server.Close()
	defer c.peers.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		c.tick(ctx, time.Now())
		select {
		case <-ctx.Done():
			c.notify()
			return nil
		case action := <-c.inbox:
			action()
			c.runPending()
		case <-ticker.C:
		}
	}
}

// runPending executes all queued functions, so that one rebuild covers their changes.
func (c *controller) runPending() {
	for {
		select {
		case action := <-c.inbox:
			action()
		default:
			return
		}
	}
}

// do executes a function on the control goroutine and waits for it. It returns false if
// the context ended first; the function is then never executed, so that it cannot write
// variables that its caller already reads.
func (c *controller) do(ctx context.Context, action func()) bool {
	done := make(chan struct{})
	var claimed atomic.Bool // set once, by the control goroutine or by the end of the context
	wrapped := func() {
		if claimed.CompareAndSwap(false, true) {
			action()
			close(done)
		}
	}
	select {
	case c.inbox <- wrapped:
	case <-ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		if claimed.CompareAndSwap(false, true) {
			return false
		}
		<-done
		return true
	}
}

func (c *controller) tick(ctx context.Context, now time.Time) {
	if c.isStoreUnreachable() {
		c.replica.ExtendLapsed(now)
	}
	changed := c.replica.Expire(c.storeSeenAt) || c.dirty
	c.dirty = false
	if changed || c.published.Load() == nil {
		c.decode()
		c.publish(now)
	}
	if changed {
		c.notify()
	}
	c.notifyLimits()
	c.applyPlan(ctx, now)
	c.stats.watching.Store(c.watch.cancel != nil)
	c.stats.storeSeenAt.Store(c.storeSeenAt.UnixMilli())
	c.ensureRegistered(ctx, now)
	c.updateRollouts(ctx, now)
}

// notify signals a change to all fetches that wait for one.
func (c *controller) notify() {
	c.changedMu.Lock()
	defer c.changedMu.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}

// changeSignal returns a channel that is closed at the next change.
func (c *controller) changeSignal() <-chan struct{} {
	c.changedMu.Lock()
	defer c.changedMu.Unlock()
	return c.changed
}

// setSeeds replaces the seed nodes.
func (c *controller) setSeeds(seeds []string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	c.do(ctx, func() { c.seeds = seeds })
}

var errNoReply = errors.New("reply to a replica fetch holds no replica answer")
