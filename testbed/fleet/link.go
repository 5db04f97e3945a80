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
	// Answered is false before the call is sent, and true after the platform
	// answered and before the node sees the answer.
	Answered bool
}

// Writes tells whether the call changes an object of a kind.
func (c Call) Writes(kind string) bool {
	return c.Kind == kind && (c.Operation == "create" || c.Operation == "update" || c.Operation == "delete")
}

// gate holds a paused node back.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // closed when the pause ends; nil while there is none
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened == nil {
		g.opened = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened != nil {
		close(g.opened)
		g.opened = nil
	}
}

// pass returns at once, or when the pause ends.
func (g *gate) pass() {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	if opened != nil {
		<-opened
	}
}

// link is a node's access to the platform. A paused node neither sends a call nor
// sees an answer; a call that was sent takes effect during the pause.
type link struct {
	objectstore.Store
	node *Node
	hook func(Call)
}

func (l link) around(operation, kind string, call func()) {
	l.observe(Call{Node: l.node, Operation: operation, Kind: kind})
	l.node.gate.pass()
	call()
	l.observe(Call{Node: l.node, Operation: operation, Kind: kind, Answered: true})
	l.node.gate.pass()
}

func (l link) observe(call Call) {
	if l.hook != nil {
		l.hook(call)
	}
}

// Get implements objectstore.Store.
func (l link) Get(ctx context.Context, kind, name string) (object objectstore.Object, err error) {
	l.around("get", kind, func() { object, err = l.Store.Get(ctx, kind, name) })
	return object, err
}

// List implements objectstore.Store.
func (l link) List(ctx context.Context, kind string) (objects []objectstore.Object, version uint64, err error) {
	l.around("list", kind, func() { objects, version, err = l.Store.List(ctx, kind) })
	return objects, version, err
}

// Create implements objectstore.Store.
func (l link) Create(ctx context.Context, kind, name string, value []byte) (version uint64, err error) {
	l.around("create", kind, func() { version, err = l.Store.Create(ctx, kind, name, value) })
	return version, err
}

// Update implements objectstore.Store.
func (l link) Update(ctx context.Context, kind, name string, value []byte, ifVersion uint64) (version uint64, err error) {
	l.around("update", kind, func() { version, err = l.Store.Update(ctx, kind, name, value, ifVersion) })
	return version, err
}

// Delete implements objectstore.Store.
func (l link) Delete(ctx context.Context, kind, name string, ifVersion uint64) (err error) {
	l.around("delete", kind, func() { err = l.Store.Delete(ctx, kind, name, ifVersion) })
	return err
}

// Watch implements objectstore.Store.
func (l link) Watch(ctx context.Context, kind string, after uint64) (events []objectstore.Event, version uint64, err error) {
	l.around("watch", kind, func() { events, version, err = l.Store.Watch(ctx, kind, after) })
	return events, version, err
}

// VMs implements objectstore.Store.
func (l link) VMs(ctx context.Context, after uint64) (list api.VMList, next uint64, err error) {
	l.around("vms", "vm", func() { list, next, err = l.Store.VMs(ctx, after) })
	return list, next, err
}
