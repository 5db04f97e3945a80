package fleet

import (
	"context"
	"sync"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/objectstore"
)

// Call is a call of a node on the platform, as a hook sees it.
type Call struct {
	Node *Node
	// Operation is get, list, create, update, delete, watch or vms.
	Operation string
	Kind      string
	// Completed is false before the call is sent, and true after the platform
	// answered and before the node sees the answer.
	Completed bool
}

// IsWriteOf tells whether the call changes an object of a kind.
func (c Call) IsWriteOf(kind string) bool {
	return c.Kind == kind && (c.Operation == "create" || c.Operation == "update" || c.Operation == "delete")
}

// pauseGate holds a paused node back.
type pauseGate struct {
	mu      sync.Mutex
	resumed chan struct{} // closed when the pause ends; nil while there is none
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

// waitUntilResumed returns at once, or when the pause ends.
func (g *pauseGate) waitUntilResumed() {
	g.mu.Lock()
	resumed := g.resumed
	g.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// nodeStore is a node's access to the platform. A paused node neither sends a call nor
// sees an answer; a call that was sent takes effect during the pause.
type nodeStore struct {
	objectstore.Store
	node *Node
	hook func(Call)
}

func (l nodeStore) intercept(operation, kind string, call func()) {
	l.notifyHook(Call{Node: l.node, Operation: operation, Kind: kind})
	l.node.pauseGate.waitUntilResumed()
	call()
	l.notifyHook(Call{Node: l.node, Operation: operation, Kind: kind, Completed: true})
	l.node.pauseGate.waitUntilResumed()
}

func (l nodeStore) notifyHook(call Call) {
	if l.hook != nil {
		l.hook(call)
	}
}

// Get implements objectstore.Store.
func (l nodeStore) Get(ctx context.Context, kind, name string) (object objectstore.Object, err error) {
	l.intercept("get", kind, func() { object, err = l.Store.Get(ctx, kind, name) })
	return object, err
}

// List implements objectstore.Store.
func (l nodeStore) List(ctx context.Context, kind string) (objects []objectstore.Object, version uint64, err error) {
	l.intercept("list", kind, func() { objects, version, err = l.Store.List(ctx, kind) })
	return objects, version, err
}

// Create implements objectstore.Store.
func (l nodeStore) Create(ctx context.Context, kind, name string, value []byte) (version uint64, err error) {
	l.intercept("create", kind, func() { version, err = l.Store.Create(ctx, kind, name, value) })
	return version, err
}

// Update implements objectstore.Store.
func (l nodeStore) Update(ctx context.Context, kind, name string, value []byte, ifVersion uint64) (version uint64, err error) {
	l.intercept("update", kind, func() { version, err = l.Store.Update(ctx, kind, name, value, ifVersion) })
	return version, err
}

// Delete implements objectstore.Store.
func (l nodeStore) Delete(ctx context.Context, kind, name string, ifVersion uint64) (err error) {
	l.intercept("delete", kind, func() { err = l.Store.Delete(ctx, kind, name, ifVersion) })
	return err
}

// Watch implements objectstore.Store.
func (l nodeStore) Watch(ctx context.Context, kind string, after uint64) (events []objectstore.Event, version uint64, err error) {
	l.intercept("watch", kind, func() { events, version, err = l.Store.Watch(ctx, kind, after) })
	return events, version, err
}

// VMs implements objectstore.Store.
func (l nodeStore) VMs(ctx context.Context, after uint64) (list api.VMList, next uint64, err error) {
	l.intercept("vms", "vm", func() { list, next, err = l.Store.VMs(ctx, after) })
	return list, next, err
}
