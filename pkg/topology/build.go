package topology

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflychute/fireflychute/pkg/catalog"
	"github.com/fireflychute/fireflychute/pkg/revision"
)

// newVersionGracePeriod is how long a version that appears beside an existing one is kept out of the
// main pool while no rollout order for the service is known. Targets of a new version and the order
// to roll it out arrive on different watches, in any order. After the period the version is used
// like the existing one.
const newVersionGracePeriod = 3 * time.Second

// Input is the state from which a topology is built.
type Input struct {
	Now           time.Time
	Configuration *catalog.Configuration
	Targets       []catalog.Target
	// Orders holds the rollouts and Steps their progress, both by service.
	Orders map[string]Order
	Steps  map[string]catalog.Step
	// Evacuated marks the data centres whose targets must not be used.
	Evacuated map[string]bool
	// Nodes lists the nodes of the fleet, including this one.
	Nodes []catalog.Node
}

// Order is a rollout with the name of its object and an ID that is unique to the order.
type Order struct {
	catalog.Rollout
	Name string
	ID   uint64
	// Created is the revision at which the object was created.
	Created revision.Revision
}

// Owns reports whether a step belongs to the order's rollout.
func (o Order) Owns(step catalog.Step) bool {
	return step.Order == o.ID && step.Version == o.Version
}

// Builder builds topologies and carries the observations of targets from one to the next. It is
// used only by the control goroutine.
type Builder struct {
	node       string
	dataCentre string
	regions    map[string]string
	observed   map[targetKey]*observation
	// firstSeen is when each version was first listed.
	firstSeen map[versionKey]time.Time
}

// observationRetention is how long the observations of a target are kept after its entry was last
// listed. An entry that reappears after a store outage does not show that the target has reported
// itself as leaving; only the observations do.
const observationRetention = 2 * time.Minute

// observation is the observed state of a target and when its entry was last listed.
type observation struct {
	*Observed
	lastListed time.Time
}

type targetKey struct {
	id          string
	address     string
	incarnation int64
}

type versionKey struct{ service, version string }

// NewBuilder returns a builder for a node in a data centre. regions maps each data centre to its
// region.
func NewBuilder(node, dataCentre string, regions map[string]string) *Builder {
	return &Builder{
		node: node, dataCentre: dataCentre, regions: regions,
		observed: map[targetKey]*observation{}, firstSeen: map[versionKey]time.Time{},
	}
}

// Build returns the topology for an input.
func (b *Builder) Build(in Input) *Topology {
	t := &Topology{
		Configuration: in.Configuration, FleetSize: max(1, len(in.Nodes)),
		Services: map[string]*Service{}, hosts: map[string][]*Route{},
	}
	for name, service := range in.Configuration.Services {
		t.Services[name] = &Service{Service: service, highestPriority: math.MaxInt}
	}
	b.addTargets(t, in)
	subsets := newSubsetSelector(b.node, b.dataCentre, in.Nodes)
	for name, service := range t.Services {
		service.Canary.limitCanaryTargets(in.Steps[name].Targets)
		subsets.selectSubset(&service.Main)
		subsets.selectSubset(&service.Canary)
	}
	for _, route := range in.Configuration.Routes {
		t.addRoute(route)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

func (t *Topology) addRoute(route catalog.Route) {
	added := &Route{Route: route}
	for _, part := range route.Parts {
		service := t.Services[part.Service]
		service.highestPriority = min(service.highestPriority, route.Priority)
		added.Services = append(added.Services, service)
		added.totalWeight += part.Weight
	}
	t.hosts[route.Host] = append(t.hosts[route.Host], added)
}

func (b *Builder) addTargets(t *Topology, in Input) {
	b.recordVersions(in)
	newest := newestByAddress(in.Targets)
	for i := range in.Targets {
		entry := &in.Targets[i]
		service := t.Services[entry.Service]
		if service == nil || newest[entry.Address] != i {
			continue
		}
		key := targetKey{entry.ID, entry.Address, entry.Incarnation}
		observed := b.observe(key, in.Now)
		if entry.Leaving {
			observed.MarkLeaving()
		}
		if entry.Leaving || in.Evacuated[entry.DataCentre] {
			continue
		}
		b.assignTarget(t, service, in, &Target{
			Target: *entry, Local: entry.DataCentre == b.dataCentre, Region: b.regions[entry.DataCentre],
			Connections: max(minConnectionsPerTarget, service.MaxConnections/t.FleetSize), Observed: observed,
		})
	}
	maps.DeleteFunc(b.observed, func(_ targetKey, entry *observation) bool { return in.Now.Sub(entry.lastListed) > observationRetention })
}

// observe returns the observations of one incarnation of a target and refreshes their retention.
func (b *Builder) observe(key targetKey, now time.Time) *Observed {
	entry := b.observed[key]
	if entry == nil {
		entry = &observation{Observed: &Observed{}}
		b.observed[key] = entry
	}
	entry.lastListed = now
	return entry.Observed
}

// limitCanaryTargets reduces the pool of a canary to the count targets that receive its share; 0
// stands for all of them. All nodes choose the same targets, so that these carry the load of the
// whole share.
func (p *Pool) limitCanaryTargets(count int) {
	if count == 0 || count >= p.Len() {
		return
	}
	ranked := slices.SortedFunc(slices.Values(p.All()), func(a, b *Target) int {
		return cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID))
	})
	*p = Pool{}
	for _, target := range ranked[:count] {
		p.add(target)
	}
}

// minConnectionsPerTarget is the minimum number of connections of a node to a target. It allows
// one load probe and one request at the same time.
const minConnectionsPerTarget = 2

// newestByAddress returns the index of the entry with the highest incarnation for each address. An
// address may be reused soon after its target has gone, while the old entry is still listed.
func newestByAddress(targets []catalog.Target) map[string]int {
	newestIndex := make(map[string]int, len(targets))
	for i := range targets {
		current, exists := newestIndex[targets[i].Address]
		if !exists || targets[i].Incarnation > targets[current].Incarnation {
			newestIndex[targets[i].Address] = i
		}
	}
	return newestIndex
}

// assignTarget adds a target to the main pool, to the canary pool or to neither, depending on the
// state of the rollout.
func (b *Builder) assignTarget(t *Topology, service *Service, in Input, target *Target) {
	order, hasOrder := in.Orders[target.Service]
	step, hasStep := in.Steps[target.Service]
	switch {
	case !hasOrder:
		if !b.isVersionSettled(in.Now, target) {
			return
		}
		service.Main.add(target)
	case order.State == catalog.RolloutComplete:
		if target.Version == order.Version {
			service.Main.add(target)
		}
	case target.Version == order.Version:
		if order.State == catalog.RolloutRolledBack || !hasStep || !order.Owns(step) || step.Failed {
			return
		}
		service.Canary.add(target)
		service.CanaryShare, service.CanaryVersion, service.Order = step.Share, order.Version, order.ID
	case hasStep && step.Base != "" && target.Version != step.Base:
		return // remains from a rollout that a later order replaced
	default:
		service.Main.add(target)
	}
}

func (b *Builder) recordVersions(in Input) {
	for _, entry := range in.Targets {
		key := versionKey{entry.Service, entry.Version}
		_, seen := b.firstSeen[key]
		if !seen {
			b.firstSeen[key] = in.Now
		}
	}
}

// isVersionSettled reports whether a target's version is the first one seen of its service or has
// been listed for newVersionGracePeriod, within which an order for it would have arrived.
func (b *Builder) isVersionSettled(now time.Time, target *Target) bool {
	firstSeen := b.firstSeen[versionKey{target.Service, target.Version}]
	if now.Sub(firstSeen) >= newVersionGracePeriod {
		return true
	}
	for key, other := range b.firstSeen {
		if key.service == target.Service && other.Before(firstSeen) {
			return false
		}
	}
	return true
}
