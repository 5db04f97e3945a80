package control

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/configuration"
	"github.com/fireflychute/fireflychute/pkg/datacentre"
	"github.com/fireflychute/fireflychute/pkg/explain"
	"github.com/fireflychute/fireflychute/pkg/objectstore"
	"github.com/fireflychute/fireflychute/pkg/operator"
	"github.com/fireflychute/fireflychute/pkg/targets"
)

const (
	// statusReadTimeout limits reading a status for an operator.
	statusReadTimeout = 500 * time.Millisecond
	// statusCacheTTL is how long a status is served from the cache, so that operator tools that
	// poll do not load the platform.
	statusCacheTTL = time.Second
)

// Backend gives operators access to the control state of a node. Its methods are safe for
// concurrent use.
type Backend struct {
	controller *Controller
	decisions  *explain.Ring
	draining   atomic.Bool

	mu       sync.Mutex
	statuses map[string]cachedStatus
}

type cachedStatus struct {
	readAt time.Time
	// version is the status version of this node before the read. An entry with an older version is
	// served only if the platform cannot be read: it would hide a change from the operator who was
	// notified of it.
	version uint64
	value   json.RawMessage
	found   bool
}

var _ operator.Backend = (*Backend)(nil)

// NewBackend returns a backend for a controller and its decision log.
func NewBackend(controller *Controller, decisions *explain.Ring) *Backend {
	return &Backend{controller: controller, decisions: decisions, statuses: map[string]cachedStatus{}}
}

// Drain makes the node report that it is not ready, before a planned stop.
func (b *Backend) Drain() { b.draining.Store(true) }

// Configuration implements operator.Backend.
func (b *Backend) Configuration() operator.Configuration {
	result := b.controller.view.Load().configuration
	result.StatusVersion = b.statusVersion()
	return result
}

// statusKinds maps kinds of the resource API to the kinds of the objects that store their status.
var statusKinds = map[string]string{
	api.KindRollout:    objectstore.KindRolloutStatus,
	api.KindDataCentre: objectstore.KindDataCentreStatus,
}

// Status implements operator.Backend. It reads the platform unless the cached status is current,
// and falls back to the cached status when the read fails.
func (b *Backend) Status(kind, name string) (json.RawMessage, bool) {
	objectKind, ok := statusKinds[kind]
	if !ok {
		return nil, false
	}
	return b.readStatus(objectKind, name)
}

func (b *Backend) readStatus(kind, name string) (json.RawMessage, bool) {
	key := kind + "/" + name
	version := b.statusVersion()
	b.mu.Lock()
	cached := b.statuses[key]
	b.mu.Unlock()
	if cached.version == version && time.Since(cached.readAt) < statusCacheTTL {
		return cached.value, cached.found
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusReadTimeout)
	defer cancel()
	object, err := b.controller.options.Store.Get(ctx, kind, name)
	if err != nil && !isNotFound(err) {
		return cached.value, cached.found
	}
	fresh := cachedStatus{readAt: time.Now(), version: version, value: object.Value, found: err == nil}
	b.mu.Lock()
	b.statuses[key] = fresh
	b.mu.Unlock()
	return fresh.value, fresh.found
}

func (b *Backend) statusVersion() uint64 {
	changes := b.controller.view.Load().changes
	changes.mu.Lock()
	defer changes.mu.Unlock()
	return changes.statusVersion
}

// Fleet implements operator.Backend.
func (b *Backend) Fleet() (api.FleetStatus, bool) {
	var status api.FleetStatus
	value, found := b.readStatus(objectstore.KindFleetStatus, fleetName)
	if !found {
		return status, false
	}
	err := json.Unmarshal(value, &status)
	return status, err == nil
}

// Nodes implements operator.Backend.
func (b *Backend) Nodes() []api.NodeStatus {
	return b.controller.view.Load().nodes
}

// Readiness implements operator.Backend.
func (b *Backend) Readiness() operator.Readiness {
	if b.draining.Load() {
		return operator.Readiness{Reason: "stopping"}
	}
	return b.controller.view.Load().readiness
}

// Targets implements operator.Backend.
func (b *Backend) Targets() []operator.TargetLoad {
	v := b.controller.view.Load()
	loads := make([]operator.TargetLoad, 0, len(v.entries))
	for _, entry := range v.entries {
		loads = append(loads, targetLoad(entry, v.units[entry.Address]))
	}
	return loads
}

func targetLoad(entry targets.Entry, units int) operator.TargetLoad {
	load := operator.TargetLoad{
		Address: entry.Address, Service: entry.Service, DataCentre: entry.DataCentre, Version: entry.Version,
		State: entry.State(), Units: units, InFlight: int(entry.Counters.InFlight.Load()), LatencyMicros: entry.Counters.LatencyMicros.Load(),
	}
	if report := entry.Counters.LastReport.Load(); report != nil {
		load.ReportedLoad = report.InFlight + report.Queued
		load.ReportAge = time.Duration(targets.MonotonicNanos(time.Now()) - report.ArrivedNanos)
	}
	return load
}

// CapacityProblems implements operator.Backend.
func (b *Backend) CapacityProblems(current, proposed *configuration.Set) []operator.CapacityProblem {
	problems := []operator.CapacityProblem{}
	for _, problem := range datacentre.CheckCapacity(current, proposed, b.controller.view.Load().loads) {
		problems = append(problems, operator.CapacityProblem{Service: problem.Service, Reason: problem.Message, Blocking: problem.Blocking})
	}
	problems = append(problems, b.versionProblems(current, proposed)...)
	return append(problems, b.nodeProblems(current, proposed)...)
}

// Changed implements operator.Backend.
func (b *Backend) Changed() <-chan struct{} {
	v := b.controller.view.Load()
	v.changes.mu.Lock()
	defer v.changes.mu.Unlock()
	return v.changes.changed
}
