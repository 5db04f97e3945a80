package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/configuration"
	"github.com/fireflychute/fireflychute/pkg/membership"
	"github.com/fireflychute/fireflychute/pkg/operator"
	"github.com/fireflychute/fireflychute/pkg/snapshot"
	"github.com/fireflychute/fireflychute/pkg/targets"
)

// event is a step that runs on the control goroutine.
type event func(now time.Time)

// Controller owns the control state. Its fields belong to the goroutine that
// runs Run; other goroutines reach it through post and the published view.
type Controller struct {
	options Options
	events  chan event
	// ctx ends when the control goroutine has stopped.
	ctx    context.Context
	cancel context.CancelFunc

	members  *membership.Machine
	registry *targets.Registry
	config   *configuration.Store
	set      *configuration.Set
	vms      api.VMList
	// vmsEncoded is vms for peers; nil until one asks.
	vmsEncoded []byte
	leases     leases
	sync       syncState
	rollouts   rollouts
	moves      moves
	statuses   statuses

	startedAt           time.Time
	lastPlatformContact time.Time
	lastAnalysis        time.Time
	lastReport          time.Time
	reportSequence      uint64    // sent to the controller
	dirty               bool      // a new snapshot is due at once
	targetsDirty        bool      // a new snapshot is due after publishInterval
	publishedAt         time.Time // of the last snapshot
	joined              bool
	countedNodes        []string
	ownRanks            map[string]int      // of this node, by target address
	nodesByRank         map[string][]string // nodes by rank, by target address
	totalUnits          map[string]int      // units of all nodes, by target address
	countersByRelay     map[string]*targets.Counters
	relayPeers          []relayPeer // nodes that take over calls
	cold                coldTargets
	validity            snapshot.Validity
	currentSnapshot     *snapshot.Snapshot
	// unusedBlobs is what the last collection of specs found unused.
	unusedBlobs      operator.UnusedBlobs
	blobsCollectedAt time.Time
	factsPrunedAt    time.Time
	probesByTarget   map[string]uint64
	view             atomic.Pointer[view]
	counters         Counters
}

// New returns a controller. Run starts it.
func New(options Options) *Controller {
	now := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{
		ctx:             ctx,
		cancel:          cancel,
		options:         options,
		events:          make(chan event, eventQueueSize),
		members:         membership.New(options.Self, options.Seeds, options.Random, now),
		registry:        targets.NewRegistry(options.Self.Name),
		config:          configuration.NewStore(),
		ownRanks:        map[string]int{},
		nodesByRank:     map[string][]string{},
		totalUnits:      map[string]int{},
		countersByRelay: map[string]*targets.Counters{},
		cold:            coldTargets{},
		sync:            syncState{blobs: map[string][]byte{}},
		startedAt:       now,

		probesByTarget: map[string]uint64{},
	}
	c.blobsCollectedAt = now
	c.factsPrunedAt = now
	c.leases = newLeases(options.Self.Name)
	c.rollouts = newRollouts()
	c.moves = newMoves()
	c.view.Store(newView())
	return c
}

// Run owns the state until ctx ends, then gives leases back and tells the peers.
func (c *Controller) Run(ctx context.Context) error {
	defer c.cancel()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	c.start()
	for {
		select {
		case step := <-c.events:
			step(time.Now())
		case now := <-ticker.C:
			c.tick(now)
		case <-ctx.Done():
			c.stop()
			return nil
		}
		c.publish(time.Now())
	}
}

// tick runs everything that depends on time.
func (c *Controller) tick(now time.Time) {
	c.sendAll(c.members.Tick(now))
	c.registry.SetExpectedFleetSize(c.members.FleetSize(now))
	c.collectTargetFacts(now)
	c.cold.sample()
	c.startProbes(now)
	c.stepLeases(now)
	c.stepSync(now)
	if now.Sub(c.lastAnalysis) >= analysisInterval {
		c.lastAnalysis = now
		c.analyseLocally(now)
		c.publishView(now)
		c.pruneFacts(now)
	}
	if now.Sub(c.lastReport) >= reportInterval {
		c.lastReport = now
		c.sendReport(now)
		c.reconcile(now)
	}
}

// post hands a step to the control goroutine and waits for room.
func (c *Controller) post(step event) {
	select {
	case c.events <- step:
	case <-c.ctx.Done():
	}
}

// runInBackground runs work off the control goroutine and its result on it.
func (c *Controller) runInBackground(timeout time.Duration, work func(ctx context.Context) event) {
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, timeout)
		defer cancel()
		c.post(work(ctx))
	}()
}

// recordPlatformResult notes the result of a call on the platform.
func (c *Controller) recordPlatformResult(now time.Time, err error) {
	c.counters.platformCalls.Add(1)
	if err != nil {
		c.counters.platformFailures.Add(1)
		return
	}
	c.lastPlatformContact = now
}

// stop gives the leases back and leaves the fleet.
func (c *Controller) stop() {
	c.releaseLeases()
	c.sendAll(c.members.Leave(time.Now()))
}
