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
	"github.com/fireflychute/fireflychute/pkg/topology"
)

// Guards against a starting node that wakes all its followers each time that one of them
// asks: each of these asks again, and a seed of a large fleet does nothing else.
func TestStartingNodeWakesFollowersOnlyForChanges(t *testing.T) {
	g := NewWithT(t)
	var published atomic.Pointer[topology.Topology]
	c := newController(Options{Settings: Settings{Node: "n1", FirstStart: true}, Log: zerolog.Nop()}, &published, nil)
	c.peers = peer.NewClient("n1", nil)
	defer c.peers.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c.seeds = []string{"127.0.0.1:1"}
	for range 3 {
		waiting := c.waitChannel()
		c.tick(ctx, c.started)
		g.Expect(waiting).NotTo(BeClosed())
	}
	waiting := c.waitChannel()
	c.dirty = true
	c.tick(ctx, c.started)
	g.Expect(waiting).To(BeClosed())
}

// Guards against a starting node that begins to watch the kinds that it has read, although
// it will follow others as soon as it has read them all.
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
	c.do(ctx, func() { c.replica.Replace(now, replica.Targets, 1, nil, false) })
	g.Expect(c.mayCall(ctx, replica.Targets)).To(BeFalse())
	g.Expect(c.mayCall(ctx, replica.Nodes)).To(BeTrue())
	c.do(ctx, func() {
		for _, kind := range replica.Kinds() {
			c.replica.Replace(now, kind, 1, nil, false)
		}
	})
	g.Expect(c.mayCall(ctx, replica.Targets)).To(BeTrue())
}
