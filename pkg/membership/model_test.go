package membership

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fireflychute/fireflychute/pkg/share"
)

// Guards against limits that are exceeded while nodes disagree about the fleet:
// under loss, partition, pause, restart, crash, leave and join, the units of all
// nodes that use theirs never add up to more than the total. Also guards against
// tables and facts that stay apart after the faults end.
func TestLimitsHoldAndTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 7).Draw(t, "size"), rapid.Uint64().Draw(t, "seed"))
		f.run(15*time.Second, func() { checkLimits(t, f) })
		for _, n := range f.nodes {
			if !n.Joined() {
				t.Fatalf("%s did not join a fleet without faults", n.self.Name)
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
			// A crashed member that was never seen in the list is held for 10 minutes.
			f.run(failedRetention+30*time.Second, nil)
		}
		checkConverged(t, f)
	})
}

// checkLimits also guards against a kept list of counted nodes that is out of date.
func checkLimits(t *rapid.T, f *fleet) {
	for name, n := range f.nodes {
		if len(n.CountedNodes(f.now)) != n.countedSize() {
			t.Fatalf("%s counts %d nodes, its table has %d", name, len(n.CountedNodes(f.now)), n.countedSize())
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
			t.Fatalf("%d units of %d in use at %v", sum, total, f.now.Sub(time.Unix(0, 0)))
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

// Guards against a node that counts for 10 minutes because the platform's list
// dropped it before its failure was noticed.
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

// Guards against a kept fleet that still counts a member after it was found gone.
func TestCountedNodesCacheDropsGoneMembers(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(3, 1)
	f.run(10*time.Second, nil)
	f.listReadable = false
	delete(f.nodes, "node-002")
	f.publishNodeList()
	node := f.nodes["node-000"]
	// The failure is learned from a peer, between two ticks.
	gone := Member{Name: "node-002", Address: "node-002", DataCentre: "north", Incarnation: 3, State: Failed}
	node.mergeMember(gone)
	g.Expect(node.CountedNodes(f.now)).To(HaveLen(3))
	node.Tick(f.now.Add(tickInterval))
	g.Expect(node.CountedNodes(f.now)).To(HaveLen(2))
}
