package fleet

import (
	"context"
	"sync"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/objectstore"
)

// Call describes a call of a node to the platform for Fleet.OnCall.
type Call struct {
	Node *Node
	// Operation is get, list, create, update, delete, watch or vms.
	Operation string
	Kind      string
	// Completed is false before the call is sent, and true after the platform
	// responded but before the node receives the response.
	Completed bool
}

// IsWriteOf reports whether the call creates, updates or deletes an object of the kind.
func (c Call) IsWriteOf(kind string) bool {
	return c.Kind == kind && (c.Operation == "create" || c.Operation == "update" || c.Operation == "delete")
}

// pauseGate blocks the calls and messages of a paused node.
type pauseGate struct {
	mu      sync.Mutex
	resumed chan struct{} // closed when the pause ends; nil while not paused
}

func (g *pauseGate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumed == nil {
		g.resumed = make(chan struct{})
	}
}

func (g *pauseGate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumed != nil {
		close(g.resumed)
		g.resumed = nil
	}
}

// waitUntilResumed blocks while the node is paused.
func (g *pauseGate) waitUntilResumed() {
	g.mu.Lock()
	resumed := g.resumed
	g.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// nodeStore is a node's access to the platform. A paused node neither sends a call nor
// receives a response; a call sent before the pause still takes effect during it.
type nodeStore struct {
	objectstore.Store
	node *Node
	hook func(Call)
}

func (s nodeStore) intercept(operation, kind string, call func()) {
	s.notifyHook(Call{Node: s.node, Operation: operation, Kind: kind})
	s.node.pauseGate.waitUntilResumed()
	call()
	s.notifyHook(Call{Node: s.node, Operation: operation, Kind: kind, Completed: true})
	s.node.pauseGate.waitUntilResumed()
}

func (s nodeStore) notifyHook(call Call) {
	if s.hook != nil {
		s.hook(call)
	}
}

// Get implements objectstore.Store.
func (s nodeStore) Get(ctx context.Context, kind, name string) (object objectstore.Object, err error) {
	s.intercept("get", kind, func() { object, err = s.Store.Get(ctx, kind, name) })
	return object, err
}

// List implements objectstore.Store.
func (s nodeStore) List(ctx context.Context, kind string) (objects []objectstore.Object, version uint64, err error) {
	s.intercept("list", kind, func() { objects, version, err = s.Store.List(ctx, kind) })
	return objects, version, err
}

// Create implements objectstore.Store.
func (s nodeStore) Create(ctx context.Context, kind, name string, value []byte) (version uint64, err error) {
	s.intercept("create", kind, func() { version, err = s.Store.Create(ctx, kind, name, value) })
	return version, err
}

// Update implements objectstore.Store.
func (s nodeStore) Update(ctx context.Context, kind, name string, value []byte, ifVersion uint64) (version uint64, err error) {
	s.intercept("update", kind, func() { version, err = s.Store.Update(ctx, kind, name, value, ifVersion) })
	return version, err
}

// Delete implements objectstore.Store.
func (s nodeStore) Delete(ctx context.Context, kind, name string, ifVersion uint64) (err error) {
	s.intercept("delete", kind, func() { err = s.Store.Delete(ctx, kind, name, ifVersion) })
	return err
}

// Watch implements objectstore.Store.
func (s nodeStore) Watch(ctx context.Context, kind string, after uint64) (events []objectstore.Event, version uint64, err error) {
	s.intercept("watch", kind, func() { events, version, err = s.Store.Watch(ctx, kind, after) })
	return events, version, err
}

// VMs implements objectstore.Store.
func (s nodeStore) VMs(ctx context.Context, after uint64) (list api.VMList, next uint64, err error) {
	s.intercept("vms", "vm", func() { list, next, err = s.Store.VMs(ctx, after) })
	return list, next, err
}
