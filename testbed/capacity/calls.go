package capacity

import (
	"context"
	"sync"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/objectstore"
)

// Names of the mechanisms that call the platform.
const (
	callLease       = "leases"
	callWatch       = "watches"
	callRead        = "manifest and list reads"
	callStatus      = "statuses"
	callBlob        = "blobs"
	callManifest    = "manifest writes"
	callIdempotency = "idempotency records"
)

// mechanisms lists them in the order of the tables.
var mechanisms = []string{callLease, callWatch, callRead, callStatus, callBlob, callManifest, callIdempotency}

// mechanismOf maps the kind of a stored object to the mechanism that reads and writes it. Writes of
// manifests are counted separately, see writeMechanism.
var mechanismOf = map[string]string{
	objectstore.KindLease: callLease, objectstore.KindBlob: callBlob, objectstore.KindManifest: callRead, objectstore.KindRequest: callIdempotency,
	objectstore.KindRolloutStatus: callStatus, objectstore.KindDataCentreStatus: callStatus, objectstore.KindFleetStatus: callStatus,
}

// callCounter counts the platform calls of all nodes by mechanism.
type callCounter struct {
	mu            sync.Mutex
	reads, writes map[string]int
}

func newCallCounter() *callCounter {
	return &callCounter{reads: map[string]int{}, writes: map[string]int{}}
}

func (c *callCounter) wrap(store objectstore.Store) objectstore.Store { return countingStore{store, c} }

func (c *callCounter) countRead(mechanism string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads[mechanism]++
}

func (c *callCounter) countWrite(mechanism string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes[mechanism]++
}

// readAndReset returns the counts since the previous readAndReset.
func (c *callCounter) readAndReset() (reads, writes map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reads, writes = c.reads, c.writes
	c.reads, c.writes = map[string]int{}, map[string]int{}
	return reads, writes
}

// countingStore counts the platform calls of one node.
type countingStore struct {
	store   objectstore.Store
	counter *callCounter
}

// Get implements objectstore.Store.
func (s countingStore) Get(ctx context.Context, kind, name string) (objectstore.Object, error) {
	s.counter.countRead(mechanismOf[kind])
	return s.store.Get(ctx, kind, name)
}

// List implements objectstore.Store.
func (s countingStore) List(ctx context.Context, kind string) ([]objectstore.Object, uint64, error) {
	s.counter.countRead(mechanismOf[kind])
	return s.store.List(ctx, kind)
}

// Create implements objectstore.Store.
func (s countingStore) Create(ctx context.Context, kind, name string, value []byte) (uint64, error) {
	s.counter.countWrite(writeMechanism(kind))
	return s.store.Create(ctx, kind, name, value)
}

// Update implements objectstore.Store.
func (s countingStore) Update(ctx context.Context, kind, name string, value []byte, ifVersion uint64) (uint64, error) {
	s.counter.countWrite(writeMechanism(kind))
	return s.store.Update(ctx, kind, name, value, ifVersion)
}

// Delete implements objectstore.Store.
func (s countingStore) Delete(ctx context.Context, kind, name string, ifVersion uint64) error {
	s.counter.countWrite(writeMechanism(kind))
	return s.store.Delete(ctx, kind, name, ifVersion)
}

// Watch implements objectstore.Store.
func (s countingStore) Watch(ctx context.Context, kind string, after uint64) ([]objectstore.Event, uint64, error) {
	s.counter.countRead(callWatch)
	return s.store.Watch(ctx, kind, after)
}

// VMs implements objectstore.Store. A read from version 0 does not wait.
func (s countingStore) VMs(ctx context.Context, after uint64) (api.VMList, uint64, error) {
	if after == 0 {
		s.counter.countRead(callRead)
	} else {
		s.counter.countRead(callWatch)
	}
	return s.store.VMs(ctx, after)
}

func writeMechanism(kind string) string {
	if kind == objectstore.KindManifest {
		return callManifest
	}
	return mechanismOf[kind]
}
