package follow

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/catalog"
)

var now = time.Unix(1000, 0)

func rankedFleet(count int) []catalog.Node {
	var nodes []catalog.Node
	for i := range count {
		nodes = append(nodes, catalog.Node{Name: fmt.Sprintf("n%d", i), DataCentre: fmt.Sprintf("dc%d", i%3)})
	}
	return Rank(nodes)
}

func watchers(ranked []catalog.Node, states map[string]map[string]SourceState, storeFailing map[string]bool) []string {
	var names []string
	for _, node := range ranked {
		if Decide(now, node.Name, ranked, states[node.Name], storeFailing[node.Name], false).Watch {
			names = append(names, node.Name)
		}
	}
	return names
}

// Guards against calls to the store that grow with the fleet, and against watchers
// that one data centre takes away together.
func TestFewNodesWatchInDifferentDataCentres(t *testing.T) {
	g := NewWithT(t)
	for _, size := range []int{3, 19, 107, 1062} {
		ranked := rankedFleet(size)
		names := watchers(ranked, nil, nil)
		g.Expect(names).To(HaveLen(Watchers))
		g.Expect(ranked[0].DataCentre).NotTo(Equal(ranked[1].DataCentre))
		last := Decide(now, ranked[size-1].Name, ranked, nil, false, false)
		g.Expect(last.Upstreams).To(HaveLen(Watchers))
		g.Expect(last.Leader).To(BeFalse())
	}
}

// Guards against a node with a narrow link having to serve the whole fleet.
func TestWeakNodesWatchLast(t *testing.T) {
	g := NewWithT(t)
	nodes := rankedFleet(19)
	for i := range 10 {
		nodes[i].Weak = true
	}
	ranked := Rank(nodes)
	for i := range ranked {
		g.Expect(ranked[i].Weak).To(Equal(i >= 9))
	}
}

// Guards against a fleet in which no node, or more than one, leads.
func TestExactlyOneNodeIsLeader(t *testing.T) {
	g := NewWithT(t)
	ranked := rankedFleet(19)
	leaders := 0
	for _, node := range ranked {
		if Decide(now, node.Name, ranked, nil, false, false).Leader {
			leaders++
		}
	}
	g.Expect(leaders).To(Equal(1))
}

// Guards against watchers that lost the store leaving the fleet without one: the
// next nodes watch as long as no fetch from the lost ones works.
func TestUnavailableWatchersAreReplacedUntilTheyRecover(t *testing.T) {
	g := NewWithT(t)
	ranked := rankedFleet(19)
	states := map[string]SourceState{}
	for _, node := range ranked[:Watchers] {
		states[node.Name] = SourceState{}.AfterFailure(now)
	}
	replacement := ranked[Watchers].Name
	g.Expect(Decide(now, replacement, ranked, states, false, false).Watch).To(BeTrue())
	later := now.Add(initialBackoff)
	plan := Decide(later, replacement, ranked, states, false, false)
	g.Expect(plan.Watch).To(BeTrue(), "lost watchers are only tried again")
	g.Expect(plan.Upstreams).To(ContainElement(ranked[0]))
	states[ranked[0].Name], states[ranked[1].Name] = SourceState{}, SourceState{}
	g.Expect(Decide(later, replacement, ranked, states, false, false).Watch).To(BeFalse())
}

// Guards against a watcher that the store turns away keeping its place.
func TestWatcherWithoutStoreFollowsOthers(t *testing.T) {
	g := NewWithT(t)
	ranked := rankedFleet(19)
	plan := Decide(now, ranked[0].Name, ranked, nil, true, false)
	g.Expect(plan.Leader).To(BeFalse())
	g.Expect(plan.Watch).To(BeTrue(), "it goes on asking")
	g.Expect(plan.Upstreams).To(Equal(ranked[1:3]))
}

// Guards against a node that hears nothing of the store through others never
// asking by itself.
func TestNodeWithoutSourcesWatches(t *testing.T) {
	g := NewWithT(t)
	ranked := rankedFleet(19)
	last := ranked[18].Name
	g.Expect(Decide(now, last, ranked, nil, false, true).Watch).To(BeTrue())
	g.Expect(Decide(now, last, nil, nil, false, true).Watch).To(BeTrue())
	states := map[string]SourceState{}
	for _, node := range ranked {
		states[node.Name] = SourceState{}.AfterFailure(now)
	}
	g.Expect(Decide(now, last, ranked, states, false, false).Watch).To(BeTrue())
}

// Guards against nodes that are gone for good being dialled all the time.
func TestBackoffOfUnavailableNodesGrows(t *testing.T) {
	g := NewWithT(t)
	state := SourceState{}
	var backoffs []time.Duration
	for range 6 {
		state = state.AfterFailure(now)
		backoffs = append(backoffs, state.retryAt.Sub(now))
	}
	g.Expect(backoffs).To(Equal([]time.Duration{initialBackoff, 2 * initialBackoff, 4 * initialBackoff, maxBackoff, maxBackoff, maxBackoff}))
}

// Guards against a fleet that learns late that the store is back because its nodes
// wait long before they ask a watcher again that had lost it.
func TestStaleNodesAreRetriedSoon(t *testing.T) {
	g := NewWithT(t)
	state := SourceState{}
	for range 6 {
		state = state.AfterStaleReply(now)
	}
	g.Expect(state.IsUnavailable()).To(BeTrue())
	g.Expect(state.retryAt.Sub(now)).To(Equal(staleRetryInterval))
}
