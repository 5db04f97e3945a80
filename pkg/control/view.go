package control

import (
	"sync"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/datacentre"
	"github.com/fireflychute/fireflychute/pkg/operator"
	"github.com/fireflychute/fireflychute/pkg/targets"
)

// peakLoadDecay is the factor by which a service's peak load decays at each new view. A capacity
// check thereby uses the load of the last minutes instead of one moment.
const peakLoadDecay = 0.995

// view is the control state as operators see it. A new view is published when the state changes;
// all views of a node share one changeNotifier.
type view struct {
	configuration operator.Configuration
	nodes         []api.NodeStatus
	readiness     operator.Readiness
	entries       []targets.Entry
	units         map[string]int                    // units of this node, by target address
	loads         map[string]datacentre.ServiceLoad // by service
	state         State
	changes       *changeNotifier
}

// changeNotifier notifies waiting operators of changes.
type changeNotifier struct {
	mu            sync.Mutex
	changed       chan struct{}
	statusVersion uint64
}

func newView() *view {
	return &view{
		readiness: operator.Readiness{Reason: "no configuration"},
		changes:   &changeNotifier{changed: make(chan struct{})},
	}
}

func (v *view) notifyStatusChange() {
	v.changes.mu.Lock()
	defer v.changes.mu.Unlock()
	v.changes.statusVersion++
	v.changes.broadcast()
}

// broadcast notifies all waiters. The caller must hold the lock.
func (c *changeNotifier) broadcast() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *changeNotifier) notify() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broadcast()
}

// publishView publishes a new view and notifies waiting operators of a new revision.
func (c *Controller) publishView(now time.Time) {
	old := c.view.Load()
	entries := c.registry.Entries()
	next := &view{
		configuration: c.operatorConfiguration(),
		nodes:         c.nodeStatuses(),
		readiness:     c.readiness(),
		entries:       entries,
		units:         c.ownUnitsByAddress(entries),
		loads:         serviceLoads(old.loads, entries),
		state:         c.state(),
		changes:       old.changes,
	}
	c.view.Store(next)
	if next.configuration.Revision != old.configuration.Revision {
		next.changes.notify()
	}
}

func (c *Controller) ownUnitsByAddress(entries []targets.Entry) map[string]int {
	units := map[string]int{}
	for _, entry := range entries {
		units[entry.Address] = c.ownUnits(entry)
	}
	return units
}

// readiness reports to the platform's load balancer whether this node accepts new calls.
func (c *Controller) readiness() operator.Readiness {
	switch {
	case c.set == nil:
		return operator.Readiness{Reason: "no configuration"}
	case !c.joined:
		return operator.Readiness{Reason: "not joined: other nodes do not count this node yet"}
	case c.currentSnapshot != nil && c.currentSnapshot.Isolated:
		return operator.Readiness{Reason: "isolated: neither the platform nor a peer responds"}
	case c.set.DataCentres[c.options.Self.DataCentre].State == api.DataCentreStateOut:
		return operator.Readiness{Reason: "data centre is out"}
	default:
		return operator.Readiness{Ready: true}
	}
}

// serviceLoads estimates the requests in flight of each service on all nodes from the targets' load
// reports. Targets without a report are counted at the mean of the others.
func serviceLoads(old map[string]datacentre.ServiceLoad, entries []targets.Entry) map[string]datacentre.ServiceLoad {
	type sum struct{ inFlight, reported, targets float64 }
	sums := map[string]sum{}
	loads := map[string]datacentre.ServiceLoad{}
	for _, entry := range entries {
		if entry.Leaving {
			continue
		}
		load, ok := loads[entry.Service]
		if !ok {
			load = datacentre.ServiceLoad{Targets: map[string]int{}}
		}
		load.Targets[entry.DataCentre]++
		loads[entry.Service] = load
		s := sums[entry.Service]
		s.targets++
		if report := entry.Counters.LastReport.Load(); report != nil {
			s.reported++
			s.inFlight += float64(report.InFlight)
		}
		sums[entry.Service] = s
	}
	for service, load := range loads {
		s := sums[service]
		if s.reported > 0 {
			load.InFlight = s.inFlight / s.reported * s.targets
		}
		load.InFlight = max(load.InFlight, old[service].InFlight*peakLoadDecay)
		loads[service] = load
	}
	return loads
}

// operatorConfiguration returns the configuration with the encoded specs. It is rebuilt only when
// the revision changed.
func (c *Controller) operatorConfiguration() operator.Configuration {
	old := c.view.Load().configuration
	if c.set == nil || old.Revision == c.set.Revision {
		return old
	}
	full := c.config.Delta(0)
	result := operator.Configuration{
		Revision: full.Revision,
		Manifest: api.Manifest{Entries: api.ManifestEntries{}, Operations: full.Operations},
		Blobs:    map[string][]byte{},
	}
	for _, entry := range full.Entries {
		result.Manifest.Entries[entry.Key] = api.ManifestEntry{Digest: entry.Digest, Generation: entry.Generation}
	}
	for _, blob := range full.Blobs {
		result.Blobs[blob.Digest] = blob.Value
	}
	return result
}
