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

// Guards against calls to the store that grow with the fleet, and against losing all watchers
// with one data centre.
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

// Guards against a fleet with no leader or more than one.
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

// Guards against a fleet without a watcher after its watchers become unavailable: the next
// nodes watch until a fetch from the former watchers succeeds.
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
	g.Expect(plan.Watch).To(BeTrue(), "a due retry does not make a watcher available")
	g.Expect(plan.Upstreams).To(ContainElement(ranked[0]))
	states[ranked[0].Name], states[ranked[1].Name] = SourceState{}, SourceState{}
	g.Expect(Decide(later, replacement, ranked, states, false, false).Watch).To(BeFalse())
}

// Guards against a watcher whose calls the store rejects remaining the only watcher or leader.
func TestWatcherWithoutStoreFollowsOthers(t *testing.T) {
	g := NewWithT(t)
	ranked := rankedFleet(19)
	plan := Decide(now, ranked[0].Name, ranked, nil, true, false)
	g.Expect(plan.Leader).To(BeFalse())
	g.Expect(plan.Watch).To(BeTrue(), "it keeps retrying the store")
	g.Expect(plan.Upstreams).To(Equal(ranked[1:3]))
}

// Guards against a node that receives no recent data through other nodes never contacting the
// store itself.
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

// Guards against permanently removed nodes being dialled all the time.
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

// Guards against a fleet that learns late that the store has recovered because its nodes back
// off for long before they retry a watcher that had lost contact with it.
func TestStaleNodesAreRetriedSoon(t *testing.T) {
	g := NewWithT(t)
	state := SourceState{}
	for range 6 {
		state = state.AfterStaleReply(now)
	}
	g.Expect(state.IsUnavailable()).To(BeTrue())
	g.Expect(state.retryAt.Sub(now)).To(Equal(staleRetryInterval))
}
