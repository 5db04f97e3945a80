package membership

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fireflychute/fireflychute/pkg/share"
)

// Guards against exceeded limits while nodes have inconsistent member tables: under loss,
// partition, pause, restart, crash, leave and join, the units of all joined nodes never add up to
// more than the total. Also guards against tables and facts that do not converge after the faults
// end.
func TestLimitsHoldAndTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 7).Draw(t, "size"), rapid.Uint64().Draw(t, "seed"))
		f.run(15*time.Second, func() { checkLimits(t, f) })
		for _, n := range f.nodes {
			if !n.Joined() {
				t.Fatalf("%s did not join a fleet without faults within 15 s", n.self.Name)
			}
		}
		version := uint64(0)
		randomNode := func() string { return rapid.SampledFrom(sortedKeys(f.nodes)).Draw(t, "node") }
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) {
				f.run(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms"))*time.Millisecond, func() { checkLimits(t, f) })
			},
			"loss":      func(t *rapid.T) { f.lossRate = rapid.Float64Range(0, 0.5).Draw(t, "loss") },
			"partition": func(t *rapid.T) { f.partitioned = true; f.sideA[randomNode()] = rapid.Bool().Draw(t, "half") },
			"heal":      func(*rapid.T) { f.partitioned = false },
			"pause":     func(*rapid.T) { f.nodes[randomNode()].paused = true },
			"resume":    func(*rapid.T) { f.nodes[randomNode()].paused = false },
			"restart":   func(*rapid.T) { f.start(randomNode()) },
			"listing":   func(t *rapid.T) { f.listReadable = rapid.Bool().Draw(t, "listing") },
			"join":      func(t *rapid.T) { f.start(rapid.SampledFrom([]string{"new-1", "new-2"}).Draw(t, "new")) },
			"crash": func(t *rapid.T) {
				if len(f.nodes) > 2 {
					delete(f.nodes, randomNode())
				}
			},
			"leave": func(t *rapid.T) {
				if name := randomNode(); len(f.nodes) > 2 && !f.nodes[name].paused {
					f.send(name, f.nodes[name].Leave(f.now))
					delete(f.nodes, name)
				}
			},
			"publish": func(*rapid.T) {
				version++
				name := randomNode()
				f.send(name, f.nodes[name].Publish(Fact{Key: "k", Version: version}))
				f.nodes[name].SetRevision(version)
			},
		})
		f.partitioned, f.lossRate, f.listReadable = false, 0, true
		for _, n := range f.nodes {
			n.paused = false
		}
		f.run(90*time.Second, func() { checkLimits(t, f) })
		if !allJoined(f) {
			// A crashed member that was never seen in the list stays counted for 10 minutes.
			f.run(failedRetention+30*time.Second, nil)
		}
		checkConverged(t, f)
	})
}

// checkLimits fails if the units in use exceed a total, or if a node's cached list of counted nodes
// is stale.
func checkLimits(t *rapid.T, f *fleet) {
	for name, n := range f.nodes {
		if len(n.CountedNodes(f.now)) != n.countedSize() {
			t.Fatalf("%s: cached list has %d counted nodes, member table has %d", name, len(n.CountedNodes(f.now)), n.countedSize())
		}
	}
	for _, total := range []int{1, 7, 40} {
		sum := 0
		for name, n := range f.nodes {
			if n.Joined() {
				sum += share.Units("target", name, n.CountedNodes(f.now), total)
			}
		}
		if sum > total {
			t.Fatalf("%d units in use with a limit of %d after %v", sum, total, f.now.Sub(time.Unix(0, 0)))
		}
	}
}

func allJoined(f *fleet) bool {
	for _, n := range f.nodes {
		if !n.Joined() || len(n.CountedNodes(f.now)) != len(f.nodes) {
			return false
		}
	}
	return true
}

// checkConverged fails unless all nodes have joined with the same tables and facts.
func checkConverged(t *rapid.T, f *fleet) {
	g := NewWithT(t)
	names := sortedKeys(f.nodes)
	first := f.nodes[names[0]]
	fact, _ := first.Fact("k")
	for _, name := range names {
		n := f.nodes[name]
		g.Expect(n.CountedNodes(f.now)).To(Equal(names), "%s: %+v", name, n.Members())
		g.Expect(n.Joined()).To(BeTrue(), name)
		other, _ := n.Fact("k")
		g.Expect(other).To(Equal(fact))
		for _, member := range n.Members() {
			if other, ok := f.nodes[member.Name]; ok {
				g.Expect(member).To(Equal(other.self))
			}
		}
	}
}

// Guards against a stopped node that stays counted for 10 minutes because it disappeared from the
// platform's list before its failure was detected.
func TestMemberDroppedFromListBeforeItFailed(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(3, 1)
	f.run(10*time.Second, nil)
	g.Expect(f.nodes["node-000"].CountedNodes(f.now)).To(HaveLen(3))
	delete(f.nodes, "node-002")
	f.listReadable = false
	f.publishNodeList()
	f.run(10*time.Second, nil)
	g.Expect(f.nodes["node-000"].CountedNodes(f.now)).To(HaveLen(2))
}

// Guards against a cached list of counted nodes that still contains a member confirmed to be gone.
func TestCountedNodesCacheDropsGoneMembers(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(3, 1)
	f.run(10*time.Second, nil)
	f.listReadable = false
	delete(f.nodes, "node-002")
	f.publishNodeList()
	node := f.nodes["node-000"]
	// The failure is reported by a peer between two ticks.
	gone := Member{Name: "node-002", Address: "node-002", DataCentre: "north", Incarnation: 3, State: Failed}
	node.mergeMember(gone)
	g.Expect(node.CountedNodes(f.now)).To(HaveLen(3))
	node.Tick(f.now.Add(tickInterval))
	g.Expect(node.CountedNodes(f.now)).To(HaveLen(2))
}
