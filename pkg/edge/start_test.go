package edge

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/fireflychute/fireflychute/pkg/catalog"
	"github.com/fireflychute/fireflychute/pkg/peer"
	"github.com/fireflychute/fireflychute/pkg/replica"
	"github.com/fireflychute/fireflychute/pkg/revision"
	"github.com/fireflychute/fireflychute/pkg/topology"
)

// Guards against a starting node that signals a change to all its followers at each fetch of
// one of them: each fetches again, which saturates a seed of a large fleet.
func TestStartingNodeNotifiesFollowersOnlyOfChanges(t *testing.T) {
	g := NewWithT(t)
	var published atomic.Pointer[topology.Topology]
	c := newTestController(Options{Settings: Settings{Node: "n1", FirstStart: true}, Log: zerolog.Nop()}, &published, nil)
	c.peers = peer.NewClient("n1", nil)
	defer c.peers.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c.seeds = []string{"127.0.0.1:1"}
	for range 3 {
		changeSignal := c.changeSignal()
		c.tick(ctx, c.started)
		g.Expect(changeSignal).NotTo(BeClosed())
	}
	changeSignal := c.changeSignal()
	c.dirty = true
	c.tick(ctx, c.started)
	g.Expect(changeSignal).To(BeClosed())
}

// Guards against a starting node that begins to watch the kinds that it has read, although
// it will follow other nodes as soon as it has read all kinds.
func TestStartingNodeReadsAllKindsBeforeItWatches(t *testing.T) {
	g := NewWithT(t)
	c := testController("n1")
	c.self = catalog.Node{Name: "n1"}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	go func() {
		for action := range c.inbox {
			action()
		}
	}()
	now := time.Now()
	c.do(ctx, func() { c.replica.Replace(now, replica.Targets, revision.Decode(1), nil, false) })
	g.Expect(c.mayCall(ctx, replica.Targets)).To(BeFalse())
	g.Expect(c.mayCall(ctx, replica.Nodes)).To(BeTrue())
	c.do(ctx, func() {
		for _, kind := range replica.Kinds() {
			c.replica.Replace(now, kind, revision.Decode(1), nil, false)
		}
	})
	g.Expect(c.mayCall(ctx, replica.Targets)).To(BeTrue())
}

// readCounter is a store that counts stale and current reads by kind.
type readCounter struct {
	Store
	staleLists, lists map[replica.Kind]int
	stale, current    []replica.Object
}

func (r readCounter) ListStale(_ context.Context, kind replica.Kind) ([]replica.Object, revision.Revision, error) {
	r.staleLists[kind]++
	return r.stale, r.stale[0].Revision, nil
}

func (r readCounter) List(_ context.Context, kind replica.Kind) ([]replica.Object, revision.Revision, error) {
	r.lists[kind]++
	return r.current, revision.Decode(9), nil
}

// Guards against a start of the whole fleet that loads the store with a full read of every kind
// by each node, against targets, configurations and steps older than those that the node had
// before its restart, and against changes lost because a stale read counts as a current one.
func TestStartingNodeReadsStaleDataOnlyOfSomeKinds(t *testing.T) {
	g := NewWithT(t)
	store := readCounter{
		staleLists: map[replica.Kind]int{}, lists: map[replica.Kind]int{},
		stale: []replica.Object{{Name: "a", Revision: revision.Decode(4)}}, current: []replica.Object{{Name: "a", Revision: revision.Decode(8)}},
	}
	c := newTestController(Options{Store: store, Log: zerolog.Nop()}, nil, nil)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	go func() {
		for action := range c.inbox {
			action()
		}
	}()
	for _, kind := range replica.Kinds() {
		g.Expect(c.readKind(ctx, kind)).To(Succeed())
	}
	g.Expect(store.staleLists).To(Equal(map[replica.Kind]int{replica.Nodes: 1, replica.Rollouts: 1, replica.Evacuations: 1}))
	g.Expect(store.lists).To(Equal(map[replica.Kind]int{replica.Configurations: 1, replica.Targets: 1, replica.Steps: 1}))
	g.Expect(c.replica.AsOf(replica.Nodes)).To(Equal(revision.Decode(4)), "later changes are still requested")
	g.Expect(c.readKind(ctx, replica.Nodes)).To(Succeed())
	g.Expect(store.lists[replica.Nodes]).To(Equal(1), "a repeated read returns the current state")
}
