package edge

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflychute/fireflychute/pkg/catalog"
	"github.com/fireflychute/fireflychute/pkg/follow"
	"github.com/fireflychute/fireflychute/pkg/replica"
	"github.com/fireflychute/fireflychute/pkg/revision"
	"github.com/fireflychute/fireflychute/pkg/topology"
)

// view is the decoded content of the replica.
type view struct {
	configuration *catalog.Configuration
	// revision is that of the newest configuration object that was decoded.
	revision  revision.Revision
	targets   map[string]decodedTarget
	nodes     []catalog.Node
	ranked    []catalog.Node
	orders    map[string]topology.Order
	steps     map[string]catalog.Step
	evacuated map[string]bool
	// decoded holds the Replica.ChangeCount at which each kind was last decoded.
	decoded map[replica.Kind]uint64
}

// decodedTarget is a target with the revision of the object it was decoded from.
type decodedTarget struct {
	revision revision.Revision
	target   catalog.Target
	err      error
}

// decode updates the view from the replica. Unchanged kinds are skipped, since a large fleet
// changes all the time, each time in one kind.
func (c *controller) decode() {
	for _, kind := range replica.Kinds() {
		changes := c.replica.ChangeCount(kind)
		if cached, ok := c.view.decoded[kind]; !ok || cached != changes {
			c.view.decoded[kind] = changes
			c.decodeKind(kind)
		}
	}
}

func (c *controller) decodeKind(kind replica.Kind) {
	switch kind {
	case replica.Configurations:
		c.decodeConfiguration()
	case replica.Targets:
		c.decodeTargets()
	case replica.Nodes:
		c.decodeNodes()
	case replica.Rollouts:
		c.decodeOrders()
	case replica.Steps:
		c.decodeSteps()
	case replica.Evacuations:
		c.decodeEvacuations()
	}
}

// decodeConfiguration applies a newer configuration: one with a higher version, whatever the
// store's revision is. If it is invalid, the last valid one stays in force.
func (c *controller) decodeConfiguration() {
	for _, object := range c.replica.Objects(replica.Configurations) {
		if object.Revision == c.view.revision {
			continue
		}
		configuration, err := c.options.Codec.Configuration(object)
		c.view.revision = object.Revision
		switch {
		case err != nil:
			c.log.Error().Err(err).Str("object", object.Name).Stringer("revision", object.Revision).Msg("invalid configuration rejected; the last valid one stays in force")
		case c.view.configuration != nil && configuration.Version < c.view.configuration.Version:
			c.log.Warn().Uint64("configuration", configuration.Version).Uint64("inForce", c.view.configuration.Version).Stringer("revision", object.Revision).
				Msg("older configuration ignored; the newer one stays in force")
		default:
			c.view.configuration = configuration
			c.log.Info().Uint64("configuration", configuration.Version).Stringer("revision", object.Revision).
				Int("routes", len(configuration.Routes)).Msg("configuration applied")
		}
	}
}

func (c *controller) decodeTargets() {
	objects := c.replica.Objects(replica.Targets)
	decoded := make(map[string]decodedTarget, len(objects))
	for _, object := range objects {
		cached, ok := c.view.targets[object.Name]
		if ok && cached.revision == object.Revision {
			decoded[object.Name] = cached
			continue
		}
		target, err := c.options.Codec.Target(object)
		decoded[object.Name] = decodedTarget{object.Revision, target, err}
		c.logTarget(object, cached, target, err)
	}
	for name, removed := range c.view.targets {
		if _, ok := decoded[name]; !ok && removed.err == nil {
			c.log.Info().Str("target", name).Str("service", removed.target.Service).Msg("target removed")
			c.client.Remove(removed.target.Address)
		}
	}
	c.view.targets = decoded
}

func (c *controller) logTarget(object replica.Object, previous decodedTarget, target catalog.Target, err error) {
	switch {
	case err != nil:
		c.log.Warn().Err(err).Str("target", object.Name).Stringer("revision", object.Revision).Msg("target entry cannot be decoded; target ignored")
	case previous.revision.IsZero() || previous.err != nil || previous.target.Leaving != target.Leaving || previous.target.Incarnation != target.Incarnation:
		c.log.Info().Str("target", target.ID).Str("address", target.Address).Str("service", target.Service).
			Str("version", target.Version).Bool("leaving", target.Leaving).Bool("lapsed", object.Lapsed).
			Stringer("revision", object.Revision).Msg("target added or changed")
	}
}

func (c *controller) decodeNodes() {
	c.view.nodes = nil // a new slice, since published topologies hold the previous one
	for _, object := range c.replica.Objects(replica.Nodes) {
		node, err := c.options.Codec.Node(object)
		if err != nil {
			c.log.Warn().Err(err).Str("node", object.Name).Msg("node entry cannot be decoded; node ignored")
			continue
		}
		c.view.nodes = append(c.view.nodes, node)
	}
	c.view.ranked = follow.Rank(c.view.nodes)
	c.shareNodes()
}

func (c *controller) decodeOrders() {
	orders := map[string]topology.Order{}
	for _, object := range c.replica.Objects(replica.Rollouts) {
		rollout, err := c.options.Codec.Rollout(object)
		if err != nil {
			c.log.Warn().Err(err).Str("rollout", object.Name).Msg("rollout order cannot be decoded; order ignored")
			continue
		}
		orders[rollout.Service] = c.identify(object, rollout)
	}
	c.view.orders = orders
}

func (c *controller) decodeSteps() {
	c.view.steps = map[string]catalog.Step{}
	for _, object := range c.replica.Objects(replica.Steps) {
		step, err := c.options.Codec.Step(object)
		if err != nil {
			c.log.Warn().Err(err).Str("step", object.Name).Msg("rollout step cannot be decoded; step ignored")
			continue
		}
		c.view.steps[step.Service] = step
	}
	c.decodeOrders() // a step tells which order is which
}

func (c *controller) decodeEvacuations() {
	c.view.evacuated = map[string]bool{}
	for _, object := range c.replica.Objects(replica.Evacuations) {
		c.view.evacuated[object.Name] = true
	}
}

// hasAllKinds reports whether every kind has been loaded at least once.
func (c *controller) hasAllKinds() bool {
	return !slices.ContainsFunc(replica.Kinds(), func(kind replica.Kind) bool { return !c.replica.IsLoaded(kind) })
}

// mayServe reports whether a starting node may serve: its data are recent, or it has waited
// maxStartWait without obtaining recent data.
func (c *controller) mayServe(now time.Time) bool {
	return now.Sub(c.storeSeenAt) <= staleThreshold || now.Sub(c.started) > maxStartWait
}

// orderIDBits keeps order IDs exact as JSON numbers.
const orderIDBits = 48

// orderID returns the ID of a rollout order. It includes the version, since an operator may
// replace an order within the same object.
func orderID(object replica.Object, version string) uint64 {
	hash := xxhash.Sum64String(object.Name + "\x00" + version + "\x00" + strconv.FormatUint(object.Created.Number(), 10))
	return hash>>(64-orderIDBits) | 1
}

// publish builds a topology from the view and hands it to the request path.
func (c *controller) publish(now time.Time) {
	if c.view.configuration == nil || !c.hasAllKinds() || c.published.Load() == nil && !c.mayServe(now) {
		return
	}
	input := topology.Input{
		Now: now, Configuration: c.view.configuration, Orders: c.view.orders, Evacuated: c.view.evacuated,
		Steps: c.effectiveSteps(), Nodes: c.view.nodes,
	}
	input.Targets = make([]catalog.Target, 0, len(c.view.targets))
	for _, object := range c.replica.Objects(replica.Targets) { // sorted by name
		if cached, ok := c.view.targets[object.Name]; ok && cached.err == nil {
			input.Targets = append(input.Targets, cached.target)
		}
	}
	c.sweepLimits(now, input.Targets)
	if c.published.Load() == nil {
		c.log.Info().Int("targets", len(input.Targets)).Int("fleet", len(input.Nodes)).Msg("node ready")
	}
	c.published.Store(c.builder.Build(input))
	c.stats.published.Add(1)
	c.stats.revision.Store(int64(c.view.revision.Number()))
	c.stats.fleetSize.Store(int64(len(input.Nodes)))
}
