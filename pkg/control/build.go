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

// publish builds a new snapshot when something changed that traffic must see.
func (c *Controller) publish(now time.Time) {
	isolated := c.extendValidity(now)
	if c.current != nil && c.current.Isolated != isolated {
		c.options.Log.Warn().Bool("isolated", isolated).Msg("isolation changed")
		c.dirty = true
	}
	c.noteFleet(now)
	targetsDue := c.targetsDirty && now.Sub(c.publishedAt) >= publishInterval
	if !c.dirty && !targetsDue || c.set == nil {
		return
	}
	c.dirty, c.targetsDirty = false, false
	c.publishedAt = now
	c.current = c.build(isolated)
	c.options.Published.Store(c.current)
	c.counters.snapshots.Add(1)
	if c.options.OnPublish != nil {
		c.options.OnPublish()
	}
	c.publishView(now)
}

// noteFleet marks the snapshot as old when the division of limits changed.
func (c *Controller) noteFleet(now time.Time) {
	counted := c.members.CountedNodes(now)
	joined := c.members.Joined()
	if joined == c.joined && slices.Equal(counted, c.counted) {
		return
	}
	c.counted = counted
	c.joined = joined
	c.ranks = map[string]int{}
	c.ranked = map[string][]string{}
	c.dirty = true
}

// extendValidity tells whether this node is isolated: it hears neither the
// platform nor any of the nodes that it knows of. A node that knows of no other
// node keeps serving.
func (c *Controller) extendValidity(now time.Time) bool {
	heard := c.heardPeersAt()
	if c.platformHeardAt.After(heard) {
		heard = c.platformHeardAt
	}
	if now.Sub(heard) >= aloneCheckTime && c.alone() {
		heard = now
	}
	c.validity.Extend(heard.Add(isolationTime))
	return now.Sub(heard) >= isolationTime
}

// alone tells that this node knows of no other node.
func (c *Controller) alone() bool {
	return len(c.members.Members()) <= 1
}

// units returns this node's part of a target's limit. A node that has not joined
// uses none, because the others do not count it yet.
func (c *Controller) units(entry targets.Entry) int {
	if !c.joined {
		return 0
	}
	rank, known := c.ranks[entry.Address]
	if !known {
		rank = share.Rank(entry.Address, c.options.Self.Name, c.counted)
		c.ranks[entry.Address] = rank
	}
	units := entry.Units / len(c.counted)
	if rank < entry.Units%len(c.counted) {
		units++
	}
	return units
}

// build joins the configuration, the targets and the moves.
func (c *Controller) build(isolated bool) *snapshot.Snapshot {
	next := &snapshot.Snapshot{Revision: c.set.Revision, Isolated: isolated, Validity: &c.validity, Callers: buildCallers(c.set.Callers)}
	targets := c.targetsByService()
	c.others = c.otherNodes()
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
		Name: name, Spec: spec, WorkName: spec.WorkKind, Work: c.set.WorkKinds[spec.WorkKind], Service: service,
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

// targetsByService returns the targets that may receive new work.
func (c *Controller) targetsByService() map[string][]*snapshot.Target {
	found := map[string][]*snapshot.Target{}
	for _, entry := range c.registry.Entries() {
		c.noteCold(entry)
		if entry.Leaving || c.set.DataCentres[entry.DataCentre].State != api.DataCentreStateIn {
			continue
		}
		units := c.units(entry)
		c.totals[entry.Address] = entry.Units
		found[entry.Service] = append(found[entry.Service], &snapshot.Target{
			Address: entry.Address, DataCentre: entry.DataCentre, Version: entry.Version, Units: units,
			Connections: max(units, c.set.Services[entry.Service].MaxConnections/len(c.counted)),
			Local:       entry.DataCentre == c.options.Self.DataCentre, Cold: entry.Cold, Counters: entry.Counters,
		})
	}
	return found
}

// noteCold keeps track of the cold targets of which this node has the first unit.
func (c *Controller) noteCold(entry targets.Entry) {
	units := c.units(entry)
	if entry.Cold && !entry.Leaving && c.joined && c.ranks[entry.Address] == 0 {
		c.cold.keep(entry, units)
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
		part := c.newShare(key, declared)
		service.Versions = []snapshot.Version{
			{Name: declared.From, Share: 1 - part, Targets: ofVersion(targets, declared.From)},
			{Name: declared.To, Share: part, Targets: ofVersion(targets, declared.To)},
		}
	}
	everyone := relaysOf(c.others)
	for i := range service.Versions {
		version := &service.Versions[i]
		for _, t := range version.Targets {
			service.Units += t.Units
		}
		version.Relays = everyone
		if c.joined && !version.OwnUnits() {
			version.Relays = c.relays(version.Targets)
		}
	}
	return service
}

func ofVersion(targets []*snapshot.Target, version string) []*snapshot.Target {
	found := []*snapshot.Target{}
	for _, t := range targets {
		if t.Version == version {
			found = append(found, t)
		}
	}
	return found
}

// buildCallers parses the networks of callers. Declarations were validated, so a
// network that does not parse is skipped.
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
