package operatortest

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/configuration"
	"github.com/fireflychute/fireflychute/pkg/objectstore"
	"github.com/fireflychute/fireflychute/pkg/operator"
)

// Backend implements operator.Backend. Its configuration is what the store held
// at the last Sync. The fields are to be set before its use.
type Backend struct {
	Store         objectstore.Store
	Statuses      map[string]json.RawMessage // by kind/name
	FleetStatus   *api.FleetStatus
	Members       []api.NodeStatus
	Ready         operator.Readiness
	Explanations  map[string]operator.Explanation
	Loads         []operator.TargetLoad
	CheckCapacity func(current, proposed *configuration.Set) []operator.CapacityProblem

	mu      sync.Mutex
	current operator.Configuration
	changed chan struct{}
}

var _ operator.Backend = (*Backend)(nil)

// Sync takes over the configuration that the store holds and wakes watches.
func (b *Backend) Sync(ctx context.Context) error {
	object, err := b.Store.Get(ctx, objectstore.KindManifest, objectstore.ManifestName)
	if err != nil {
		return err
	}
	next := operator.Configuration{Revision: object.Version, Blobs: map[string][]byte{}}
	err = json.Unmarshal(object.Value, &next.Manifest)
	if err != nil {
		return err
	}
	for _, entry := range next.Manifest.Entries {
		blob, err := b.Store.Get(ctx, objectstore.KindBlob, entry.Digest)
		if err != nil {
			return err
		}
		next.Blobs[entry.Digest] = blob.Value
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	next.StatusVersion = b.current.StatusVersion + 1
	b.current = next
	if b.changed != nil {
		close(b.changed)
	}
	b.changed = make(chan struct{})
	return nil
}

// Restore makes the backend serve an earlier configuration, as a node does that
// has not applied the newest one yet.
func (b *Backend) Restore(earlier operator.Configuration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = earlier
}

// Configuration implements operator.Backend.
func (b *Backend) Configuration() operator.Configuration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current
}

// Changed implements operator.Backend.
func (b *Backend) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return b.changed
}

// Status implements operator.Backend.
func (b *Backend) Status(kind, name string) (json.RawMessage, bool) {
	status, ok := b.Statuses[kind+"/"+name]
	return status, ok
}

// Fleet implements operator.Backend.
func (b *Backend) Fleet() (api.FleetStatus, bool) {
	if b.FleetStatus == nil {
		return api.FleetStatus{}, false
	}
	return *b.FleetStatus, true
}

// Nodes implements operator.Backend.
func (b *Backend) Nodes() []api.NodeStatus { return b.Members }

// Readiness implements operator.Backend.
func (b *Backend) Readiness() operator.Readiness { return b.Ready }

// Explain implements operator.Backend.
func (b *Backend) Explain(id string) (operator.Explanation, bool) {
	explanation, ok := b.Explanations[id]
	return explanation, ok
}

// Targets implements operator.Backend.
func (b *Backend) Targets() []operator.TargetLoad { return b.Loads }

// CapacityProblems implements operator.Backend.
func (b *Backend) CapacityProblems(current, proposed *configuration.Set) []operator.CapacityProblem {
	if b.CheckCapacity == nil {
		return nil
	}
	return b.CheckCapacity(current, proposed)
}
