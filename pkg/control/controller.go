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

// event is a function that runs on the control goroutine.
type event func(now time.Time)

// Controller owns the control state of a node. Its fields belong to the goroutine of Run; other
// goroutines use post to run code on it, or read the published view.
type Controller struct {
	options Options
	events  chan event
	// ctx is cancelled when the control goroutine has stopped.
	ctx    context.Context
	cancel context.CancelFunc

	members  *membership.Machine
	registry *targets.Registry
	config   *configuration.Store
	set      *configuration.Set // current configuration; nil before the first one
	vms      api.VMList
	// vmsEncoded caches the encoded vms for replies to peers; nil until a peer fetches the list.
	vmsEncoded  []byte
	leases      leases
	sync        syncState
	rollouts    rollouts
	transitions transitions
	statuses    statuses

	startedAt           time.Time
	lastPlatformContact time.Time
	lastAnalysis        time.Time
	lastReport          time.Time
	reportSequence      uint64    // sequence number of the last report to the leader
	dirty               bool      // a new snapshot must be published at once
	targetsDirty        bool      // a new snapshot must be published after publishInterval
	publishedAt         time.Time // time of the last snapshot
	joined              bool
	countedNodes        []string            // names by which the limits of targets are divided, sorted
	ownRanks            map[string]int      // ranks of this node, by target address
	nodesByRank         map[string][]string // node names in order of rank, by target address
	totalUnits          map[string]int      // units of all nodes together, by target address
	countersByRelay     map[string]*targets.Counters
	relayPeers          []relayPeer // nodes that accept relayed calls
	cold                coldTargets
	validity            snapshot.Validity
	currentSnapshot     *snapshot.Snapshot
	// unusedBlobs holds the blobs that the last collection found unreferenced.
	unusedBlobs          operator.UnusedBlobs
	blobsCollectedAt     time.Time
	factsPrunedAt        time.Time
	healthChecksByTarget map[string]uint64
	view                 atomic.Pointer[view]
	counters             Counters
}

// New returns a controller that is started by Run.
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

		healthChecksByTarget: map[string]uint64{},
	}
	c.blobsCollectedAt = now
	c.factsPrunedAt = now
	c.leases = newLeases(options.Self.Name)
	c.rollouts = newRollouts()
	c.transitions = newTransitions()
	c.view.Store(newView())
	return c
}

// Run runs the control loop until ctx ends, then releases the leases and announces to the peers
// that this node leaves.
func (c *Controller) Run(ctx context.Context) error {
	defer c.cancel()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	c.start()
	for {
		select {
		case handle := <-c.events:
			handle(time.Now())
		case now := <-ticker.C:
			c.tick(now)
		case <-ctx.Done():
			c.stop()
			return nil
		}
		c.publish(time.Now())
	}
}

// tick runs all time-driven work.
func (c *Controller) tick(now time.Time) {
	c.sendAll(c.members.Tick(now))
	c.registry.SetExpectedFleetSize(c.members.FleetSize(now))
	c.collectTargetFacts(now)
	c.cold.sample()
	c.startHealthChecks(now)
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

// post queues an event for the control goroutine and blocks while the queue is full. It drops the
// event once the control goroutine has stopped.
func (c *Controller) post(e event) {
	select {
	case c.events <- e:
	case <-c.ctx.Done():
	}
}

// runInBackground runs work in a goroutine of its own with a timeout, and posts the event that it
// returns to the control goroutine.
func (c *Controller) runInBackground(timeout time.Duration, work func(ctx context.Context) event) {
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, timeout)
		defer cancel()
		c.post(work(ctx))
	}()
}

// recordPlatformResult counts a call to the platform and records the time of a successful one.
func (c *Controller) recordPlatformResult(now time.Time, err error) {
	c.counters.platformCalls.Add(1)
	if err != nil {
		c.counters.platformFailures.Add(1)
		return
	}
	c.lastPlatformContact = now
}

// stop releases the leases and announces that this node leaves the fleet.
func (c *Controller) stop() {
	c.releaseLeases()
	c.sendAll(c.members.Leave(time.Now()))
}
