package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/fireflychute/fireflychute/pkg/canary"
	"github.com/fireflychute/fireflychute/pkg/catalog"
	"github.com/fireflychute/fireflychute/pkg/follow"
	"github.com/fireflychute/fireflychute/pkg/peer"
	"github.com/fireflychute/fireflychute/pkg/replica"
	"github.com/fireflychute/fireflychute/pkg/topology"
	"github.com/fireflychute/fireflychute/pkg/transport"
)

const (
	// tickTime is how often the control goroutine looks at time.
	tickTime = 100 * time.Millisecond
	// staleTime is the age of the last contact with the store, own or through other
	// nodes, from which on a node looks for the store by itself.
	staleTime = 4 * time.Second
	// seedTime is how long a starting node waits for its seeds before it reads the
	// store by itself: seeds that are up answer within it. Without it each start costs
	// a read of every kind. firstSeedTime is the same when the whole fleet starts for
	// the first time, before there is traffic.
	seedTime      = 80 * time.Millisecond
	firstSeedTime = 600 * time.Millisecond
	// patienceTime is how long a starting node waits for recent data before it serves
	// with what its peers have.
	patienceTime = 3 * time.Second
	// Below either limit a node is weak: it does not serve changes to the others.
	weakProcessor = 0.25 // of a core
	weakLinkMbps  = 50
)

// controller owns the control state of the node. All its state belongs to one
// goroutine, which executes the functions in inbox.
type controller struct {
	options   Options
	log       zerolog.Logger
	published *atomic.Pointer[topology.Topology]
	client    *transport.Client
	outcomes  *canary.Outcomes
	inbox     chan func()
	// drained is closed when the last request of a stopping node has ended.
	drained chan struct{}

	replica *replica.Replica
	builder *topology.Builder
	dirty   bool
	view    view

	peers   *peer.Client
	packer  packer
	seeds   []string
	self    catalog.Node
	follows map[string]context.CancelFunc
	sources map[string]follow.State
	started time.Time
	// heard is when the store was last reached, by this node or by one that it follows.
	heard time.Time

	watch    watchState
	register writeState
	rollouts rolloutState

	status status

	changedMu sync.Mutex
	changed   chan struct{}
}

// view is what was decoded of the replica.
type view struct {
	configuration *catalog.Configuration
	revision      uint64
	targets       map[string]decodedTarget
	nodes         []catalog.Node
	ranked        []catalog.Node
	orders        map[string]topology.Order
	steps         map[string]catalog.Step
	evacuated     map[string]bool
}

// decodedTarget is a target with the revision of the object it was decoded from.
type decodedTarget struct {
	revision uint64
	readAt   time.Time
	target   catalog.Target
	err      error
}

func newController(options Options, published *atomic.Pointer[topology.Topology], client *transport.Client) *controller {
	settings := &options.Settings
	return &controller{
		options: options, log: options.Log, published: published, client: client,
		outcomes: canary.NewOutcomes(),
		inbox:    make(chan func(), 64), drained: make(chan struct{}),
		replica: replica.New(), builder: topology.NewBuilder(settings.Node, settings.DataCentre, settings.Regions),
		view:  view{targets: map[string]decodedTarget{}},
		peers: peer.NewClient(settings.Node, nil), seeds: settings.Seeds,
		self: catalog.Node{
			Name: settings.Node, Address: settings.PeerListen, DataCentre: settings.DataCentre,
			Incarnation: rand.Int64N(1 << 52),
			Weak:        settings.Processor < weakProcessor || settings.LinkMbps < weakLinkMbps,
		},
		started: time.Now(),
		follows: map[string]context.CancelFunc{}, sources: map[string]follow.State{},
		rollouts: newRolloutState(), changed: make(chan struct{}),
	}
}

// run executes the control goroutine until the context ends.
func (c *controller) run(ctx context.Context) error {
	server, err := peer.Listen(c.options.Settings.PeerListen, nil, c.deliver)
	if err != nil {
		return err
	}
	defer server.Close()
	defer c.peers.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticker := time.NewTicker(tickTime)
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

// runPending executes what else is in the inbox, so that one rebuild covers it.
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

// do executes a function on the control goroutine and waits for it. It returns
// false when the context ended before.
func (c *controller) do(ctx context.Context, action func()) bool {
	done := make(chan struct{})
	wrapped := func() {
		defer close(done)
		action()
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
		return false
	}
}

func (c *controller) tick(ctx context.Context, now time.Time) {
	c.dirty = c.replica.Expire(now) || c.dirty || c.published.Load() == nil
	if c.dirty {
		c.dirty = false
		c.decode(now)
		c.publish(now)
		c.notify()
	}
	c.plan(ctx, now)
	c.status.watching.Store(c.watch.cancel != nil)
	c.status.heard.Store(c.heard.UnixMilli())
	c.keepRegistered(ctx, now)
	c.lead(ctx, now)
}

// notify wakes the nodes that wait for a change.
func (c *controller) notify() {
	c.changedMu.Lock()
	defer c.changedMu.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *controller) waitChannel() <-chan struct{} {
	c.changedMu.Lock()
	defer c.changedMu.Unlock()
	return c.changed
}

// setSeeds takes over new seeds.
func (c *controller) setSeeds(seeds []string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	c.do(ctx, func() { c.seeds = seeds })
}

// decode brings the view up to the replica.
func (c *controller) decode(now time.Time) {
	c.decodeConfiguration()
	c.decodeTargets(now)
	c.decodeNodes()
	c.decodeMoves()
}

// decodeConfiguration takes over the configuration. One that cannot be carried out
// leaves the last good one in force.
func (c *controller) decodeConfiguration() {
	for _, object := range c.replica.Objects(replica.Configurations) {
		if object.Revision <= c.view.revision {
			continue
		}
		configuration, err := c.options.Codec.Configuration(object)
		if err != nil {
			c.log.Error().Err(err).Str("object", object.Name).Uint64("revision", object.Revision).Msg("configuration refused; the last good one stays in force")
			c.view.revision = object.Revision
			continue
		}
		c.view.configuration, c.view.revision = configuration, object.Revision
		c.log.Info().Uint64("configuration", configuration.Version).Uint64("revision", object.Revision).
			Int("routes", len(configuration.Routes)).Msg("configuration in force")
	}
}

func (c *controller) decodeTargets(now time.Time) {
	decoded := map[string]decodedTarget{}
	for _, object := range c.replica.Objects(replica.Targets) {
		known, ok := c.view.targets[object.Name]
		if ok && known.revision == object.Revision {
			decoded[object.Name] = known
			continue
		}
		target, err := c.options.Codec.Target(object)
		decoded[object.Name] = decodedTarget{object.Revision, now, target, err}
		c.logTarget(object, known, target, err)
	}
	for name, gone := range c.view.targets {
		if _, ok := decoded[name]; !ok && gone.err == nil {
			c.log.Info().Str("target", name).Str("service", gone.target.Service).Msg("target gone")
			c.client.Forget(gone.target.Address)
		}
	}
	c.view.targets = decoded
}

func (c *controller) logTarget(object replica.Object, known decodedTarget, target catalog.Target, err error) {
	switch {
	case err != nil:
		c.log.Warn().Err(err).Str("target", object.Name).Uint64("revision", object.Revision).Msg("entry of a target left out")
	case known.revision == 0 || known.err != nil || known.target.Leaving != target.Leaving || known.target.Incarnation != target.Incarnation:
		c.log.Info().Str("target", target.ID).Str("address", target.Address).Str("service", target.Service).
			Str("version", target.Version).Bool("leaving", target.Leaving).Bool("lapsed", object.Lapsed).
			Uint64("revision", object.Revision).Msg("target known")
	}
}

func (c *controller) decodeNodes() {
	c.view.nodes = c.view.nodes[:0]
	for _, object := range c.replica.Objects(replica.Nodes) {
		node, err := c.options.Codec.Node(object)
		if err != nil {
			c.log.Warn().Err(err).Str("node", object.Name).Msg("entry of a node left out")
			continue
		}
		c.view.nodes = append(c.view.nodes, node)
	}
	c.view.ranked = follow.Rank(c.view.nodes)
}

func (c *controller) decodeMoves() {
	c.view.orders, c.view.steps, c.view.evacuated = map[string]topology.Order{}, map[string]catalog.Step{}, map[string]bool{}
	for _, object := range c.replica.Objects(replica.Rollouts) {
		rollout, err := c.options.Codec.Rollout(object)
		if err != nil {
			c.log.Warn().Err(err).Str("rollout", object.Name).Msg("order of a rollout left out")
			continue
		}
		c.view.orders[rollout.Service] = topology.Order{Rollout: rollout, Name: object.Name, ID: orderID(object, rollout.Version)}
	}
	for _, object := range c.replica.Objects(replica.Steps) {
		step, err := c.options.Codec.Step(object)
		if err != nil {
			c.log.Warn().Err(err).Str("step", object.Name).Msg("step of a rollout left out")
			continue
		}
		c.view.steps[step.Service] = step
	}
	for _, object := range c.replica.Objects(replica.Evacuations) {
		c.view.evacuated[object.Name] = true
	}
}

// isComplete tells whether every kind was read at least once.
func (c *controller) isComplete() bool {
	return !slices.ContainsFunc(replica.Kinds(), func(kind replica.Kind) bool { return !c.replica.Known(kind) })
}

// mayBegin tells whether a starting node may serve: its data are recent, or nobody
// has any that are.
func (c *controller) mayBegin(now time.Time) bool {
	return now.Sub(c.heard) <= staleTime || now.Sub(c.started) > patienceTime
}

// orderIDBits keeps identities exact in JSON numbers.
const orderIDBits = 48

// orderID identifies an order. An operator may replace an order in the same object.
func orderID(object replica.Object, version string) uint64 {
	hash := xxhash.Sum64String(object.Name + "\x00" + version + "\x00" + strconv.FormatUint(object.Created, 10))
	return hash>>(64-orderIDBits) | 1
}

// publish gives the view to traffic.
func (c *controller) publish(now time.Time) {
	if c.view.configuration == nil || !c.isComplete() || c.published.Load() == nil && !c.mayBegin(now) {
		return
	}
	input := topology.Input{
		Now: now, Configuration: c.view.configuration, Orders: c.view.orders, Evacuated: c.view.evacuated,
		Steps: c.effectiveSteps(), Fleet: max(1, len(c.view.nodes)),
	}
	names := make([]string, 0, len(c.view.targets))
	for name := range c.view.targets {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if known := c.view.targets[name]; known.err == nil {
			input.Targets = append(input.Targets, known.target)
		}
	}
	if c.published.Load() == nil {
		c.log.Info().Int("targets", len(input.Targets)).Int("fleet", input.Fleet).Msg("node ready")
	}
	c.published.Store(c.builder.Build(input))
	c.status.published.Add(1)
	c.status.revision.Store(int64(c.view.revision))
	c.status.fleet.Store(int64(input.Fleet))
}

var errNoAnswer = errors.New("peer sent no answer to a fetch")
