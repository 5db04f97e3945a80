package topology

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflychute/fireflychute/pkg/catalog"
)

// newVersionGracePeriod is how long a version that appeared beside another one waits
// for an order before it counts as an ordinary one. Instances of a new version and
// the order to roll it out arrive on different watches, in any order.
const newVersionGracePeriod = 3 * time.Second

// Input is what a topology is made from.
type Input struct {
	Now           time.Time
	Configuration *catalog.Configuration
	Targets       []catalog.Target
	// Orders are the rollouts by service, Steps their progress by service.
	Orders    map[string]Order
	Steps     map[string]catalog.Step
	Evacuated map[string]bool
	// Nodes are the nodes of the fleet, this one included.
	Nodes []catalog.Node
}

// Order is a rollout with the name of its object and an identity that differs
// between orders.
type Order struct {
	catalog.Rollout
	Name string
	ID   uint64
}

// Owns tells whether a step is one of the order's rollout.
func (o Order) Owns(step catalog.Step) bool {
	return step.Order == o.ID && step.Version == o.Version
}

// Builder makes topologies and keeps what was observed of targets between them.
// It belongs to the control goroutine.
type Builder struct {
	node       string
	dataCentre string
	regions    map[string]string
	observed   map[targetKey]*observation
	firstSeen  map[versionKey]time.Time
}

// observationRetention is how long what was observed of a target is kept after its entry was listed
// last. An entry that comes back after an outage of the store says nothing of the target's
// notice that it leaves.
const observationRetention = 2 * time.Minute

// observation is what was observed of a target, and when it was listed last.
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

// NewBuilder returns a builder for a node in a data centre. regions has the region
// of each data centre.
func NewBuilder(node, dataCentre string, regions map[string]string) *Builder {
	return &Builder{
		node: node, dataCentre: dataCentre, regions: regions,
		observed: map[targetKey]*observation{}, firstSeen: map[versionKey]time.Time{},
	}
}

// Build returns the topology of an input.
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
	addresses := newestByAddress(in.Targets)
	for i := range in.Targets {
		entry := &in.Targets[i]
		service := t.Services[entry.Service]
		if service == nil || addresses[entry.Address] != i {
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
	maps.DeleteFunc(b.observed, func(_ targetKey, kept *observation) bool { return in.Now.Sub(kept.lastListed) > observationRetention })
}

// observe returns what was observed of one start of a target.
func (b *Builder) observe(key targetKey, now time.Time) *Observed {
	entry := b.observed[key]
	if entry == nil {
		entry = &observation{Observed: &Observed{}}
		b.observed[key] = entry
	}
	entry.lastListed = now
	return entry.Observed
}

// limitCanaryTargets leaves the targets of a version on trial that take its share; 0 stands for
// all of them. All nodes choose the same ones, so that they carry the load of the whole
// share.
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

// minConnectionsPerTarget is the least number of connections of a node to a target: a
// question and a request at the same time.
const minConnectionsPerTarget = 2

// newestByAddress returns the position of the newest entry of each address. An address is used again
// soon after its owner has gone, and the former entry may still be there.
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

// assignTarget puts a target into the version in use or the one that is rolled out.
func (b *Builder) assignTarget(t *Topology, service *Service, in Input, target *Target) {
	order, ordered := in.Orders[target.Service]
	step, stepped := in.Steps[target.Service]
	switch {
	case !ordered:
		if !b.isVersionSettled(in.Now, target) {
			return
		}
		service.Main.add(target)
	case order.State == catalog.RolloutComplete:
		if target.Version == order.Version {
			service.Main.add(target)
		}
	case target.Version == order.Version:
		if order.State == catalog.RolloutRolledBack || !stepped || !order.Owns(step) || step.Failed {
			return
		}
		service.Canary.add(target)
		service.CanaryShare, service.CanaryVersion, service.Order = step.Share, order.Version, order.ID
	case stepped && step.Base != "" && target.Version != step.Base:
		return // left over from a rollout that another order replaced
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

// isVersionSettled tells whether a target's version was there from the beginning or long
// enough for an order about it to have arrived.
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
