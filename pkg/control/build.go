package control

import (
	"net/netip"
	"slices"
	"sort"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/outcome"
	"github.com/fireflychute/fireflychute/pkg/share"
	"github.com/fireflychute/fireflychute/pkg/snapshot"
	"github.com/fireflychute/fireflychute/pkg/targets"
)

// publish builds and publishes a new snapshot when a change affects the data path.
func (c *Controller) publish(now time.Time) {
	isolated := c.extendValidity(now)
	if c.currentSnapshot != nil && c.currentSnapshot.Isolated != isolated {
		c.options.Log.Warn().Bool("isolated", isolated).Msg("node isolation changed; an isolated node rejects new calls")
		c.dirty = true
	}
	c.updateCountedNodes(now)
	targetsDue := c.targetsDirty && now.Sub(c.publishedAt) >= publishInterval
	if !c.dirty && !targetsDue || c.set == nil {
		return
	}
	c.dirty, c.targetsDirty = false, false
	c.publishedAt = now
	c.currentSnapshot = c.build(isolated)
	c.options.Published.Store(c.currentSnapshot)
	c.counters.snapshots.Add(1)
	if c.options.OnPublish != nil {
		c.options.OnPublish()
	}
	c.publishView(now)
}

// updateCountedNodes requests a new snapshot when the division of the limits among nodes changed.
func (c *Controller) updateCountedNodes(now time.Time) {
	counted := c.members.CountedNodes(now)
	joined := c.members.Joined()
	if joined == c.joined && slices.Equal(counted, c.countedNodes) {
		return
	}
	c.countedNodes = counted
	c.joined = joined
	c.ownRanks = map[string]int{}
	c.nodesByRank = map[string][]string{}
	c.dirty = true
}

// extendValidity extends the validity of the snapshots after contact to the platform or a peer, and
// reports whether this node is isolated: it has contact neither to the platform nor to any node
// that it knows. A node that knows no other node keeps serving.
func (c *Controller) extendValidity(now time.Time) bool {
	lastContact := c.lastPeerContact()
	if c.lastPlatformContact.After(lastContact) {
		lastContact = c.lastPlatformContact
	}
	if now.Sub(lastContact) >= soleNodeCheckDelay && c.isSoleNode() {
		lastContact = now
	}
	c.validity.Extend(lastContact.Add(isolationTimeout))
	return now.Sub(lastContact) >= isolationTimeout
}

// isSoleNode reports whether this node knows no other node.
func (c *Controller) isSoleNode() bool {
	return len(c.members.Members()) <= 1
}

// ownUnits returns this node's part of a target's limit. It is 0 before the node has joined,
// because the other nodes do not yet count it when they divide the limit.
func (c *Controller) ownUnits(entry targets.Entry) int {
	if !c.joined {
		return 0
	}
	rank, cached := c.ownRanks[entry.Address]
	if !cached {
		rank = share.Rank(entry.Address, c.options.Self.Name, c.countedNodes)
		c.ownRanks[entry.Address] = rank
	}
	units := entry.Units / len(c.countedNodes)
	if rank < entry.Units%len(c.countedNodes) {
		units++
	}
	return units
}

// build combines the configuration, the targets and the rollout shares into a snapshot.
func (c *Controller) build(isolated bool) *snapshot.Snapshot {
	next := &snapshot.Snapshot{Revision: c.set.Revision, Isolated: isolated, Validity: &c.validity, Callers: buildCallers(c.set.Callers)}
	targets := c.targetsByService()
	c.relayPeers = c.availableRelays()
	services := map[string]*snapshot.Service{}
	for name, spec := range c.set.Services {
		services[name] = c.buildService(name, spec, targets[name])
	}
	for name, spec := range c.set.Routes {
		next.Routes = append(next.Routes, c.buildRoute(name, spec, services[spec.Service]))
	}
	snapshot.SortRoutes(next.Routes)
	return next
}

func (c *Controller) buildRoute(name string, spec api.RouteSpec, service *snapshot.Service) *snapshot.Route {
	route := &snapshot.Route{
		Name: name, Spec: spec, WorkKindName: spec.WorkKind, WorkKind: c.set.WorkKinds[spec.WorkKind], Service: service,
	}
	key, declared, ok := c.rolloutOf(spec.Service)
	if ok {
		route.Recorders = map[string]*outcome.Recorder{
			declared.From: c.recorder(countKey{key, name, declared.From}),
			declared.To:   c.recorder(countKey{key, name, declared.To}),
		}
	}
	return route
}

// targetsByService returns the targets that may receive new requests.
func (c *Controller) targetsByService() map[string][]*snapshot.Target {
	byService := map[string][]*snapshot.Target{}
	for _, entry := range c.registry.Entries() {
		c.trackCold(entry)
		if entry.Leaving || c.set.DataCentres[entry.DataCentre].State != api.DataCentreStateIn {
			continue
		}
		units := c.ownUnits(entry)
		c.totalUnits[entry.Address] = entry.Units
		byService[entry.Service] = append(byService[entry.Service], &snapshot.Target{
			Address: entry.Address, DataCentre: entry.DataCentre, Version: entry.Version, Units: units,
			Connections: max(units, c.set.Services[entry.Service].MaxConnections/len(c.countedNodes)),
			Local:       entry.DataCentre == c.options.Self.DataCentre, Cold: entry.Cold, Counters: entry.Counters,
		})
	}
	return byService
}

// trackCold tracks the cold targets whose first unit belongs to this node.
func (c *Controller) trackCold(entry targets.Entry) {
	units := c.ownUnits(entry)
	if entry.Cold && !entry.Leaving && c.joined && c.ownRanks[entry.Address] == 0 {
		c.cold.track(entry, units)
		return
	}
	delete(c.cold, entry.Address)
}

func (c *Controller) buildService(name string, spec api.ServiceSpec, targets []*snapshot.Target) *snapshot.Service {
	service := &snapshot.Service{Name: name, Spec: spec}
	key, declared, ok := c.rolloutOf(name)
	if !ok {
		service.Versions = []snapshot.Version{{Share: 1, Targets: targets}}
	} else {
		newVersionShare := c.newVersionShare(key, declared)
		service.Versions = []snapshot.Version{
			{Name: declared.From, Share: 1 - newVersionShare, Targets: filterByVersion(targets, declared.From)},
			{Name: declared.To, Share: newVersionShare, Targets: filterByVersion(targets, declared.To)},
		}
	}
	allRelays := relayTargets(c.relayPeers)
	for i := range service.Versions {
		version := &service.Versions[i]
		for _, t := range version.Targets {
			service.Units += t.Units
		}
		version.Relays = allRelays
		if c.joined && !version.HasUnits() {
			version.Relays = c.relaysWithUnits(version.Targets)
		}
	}
	return service
}

func filterByVersion(targets []*snapshot.Target, version string) []*snapshot.Target {
	matching := []*snapshot.Target{}
	for _, t := range targets {
		if t.Version == version {
			matching = append(matching, t)
		}
	}
	return matching
}

// buildCallers parses the networks of client accounts. The specs were validated when they were
// applied, so a network that cannot be parsed is skipped.
func buildCallers(callers map[string]api.CallerSpec) []snapshot.CallerGroup {
	groups := []snapshot.CallerGroup{}
	for name, spec := range callers {
		group := snapshot.CallerGroup{Name: name, Weight: spec.Weight}
		for _, cidr := range spec.CIDRs {
			prefix, err := netip.ParsePrefix(cidr)
			if err == nil {
				group.Prefixes = append(group.Prefixes, prefix)
			}
		}
		groups = append(groups, group)
	}
	sort.Slice(groups, func(i, j int) bool { return groups[i].Name < groups[j].Name })
	return groups
}
