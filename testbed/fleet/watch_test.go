package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/internal/faultmatrix"
	"github.com/fireflychute/fireflychute/testbed/fleet"
)

// Guards against a watcher that never gets past a version that the platform has
// forgotten: every later change would then wait for the readers of last resort,
// which read every 15 s.
func TestWatchResumesAfterCompactedVersion(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.WatchForgotten, faultmatrix.ConfigAnnounce, faultmatrix.ConfigFetch)
	withFleet(t, 7, func(g *WithT, f *fleet.Fleet) {
		time.Sleep(20 * time.Second) // the leases are held by now
		for _, node := range f.Nodes {
			node.PlatformUnreachable.Store(true)
		}
		f.Nodes[1].PlatformUnreachable.Store(false)
		code, missed := f.Nodes[1].Apply(workKind(700))
		g.Expect(code).To(Equal(200))
		f.Platform.Store.Compact()
		time.Sleep(3 * time.Second)
		for _, node := range f.Nodes {
			node.PlatformUnreachable.Store(false)
		}
		time.Sleep(applyLimit)
		g.Expect(allHaveRevision(f, missed.Revision)).To(BeTrue())
		for round := range 3 {
			code, result := f.Nodes[1].Apply(workKind(701 + round))
			g.Expect(code).To(Equal(200))
			g.Expect(fleet.WaitUntil(watchApplyLimit, func() bool { return allHaveRevision(f, result.Revision) })).To(BeTrue(), "round %d", round)
		}
	})
}

// Guards against a node that was announced a change, could not fetch it while it
// reached nobody, and then asks only the platform, which it still does not reach.
func TestIsolatedNodeFetchesFromPeersAfterHeal(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.NodeCutFromPeers, faultmatrix.ConfigFetch)
	for _, ms := range []time.Duration{0, 2, 4, 6, 8, 10, 12, 16, 24, 32, 50, 100, 200, 300} {
		withFleet(t, 6, func(g *WithT, f *fleet.Fleet) {
			time.Sleep(20 * time.Second)
			scenario := &faultScenario{f: f, g: g, lastRevisions: map[*fleet.Node]uint64{}}
			scenario.victim = f.Nodes[2]
			for _, node := range f.Nodes[2:] {
				if !node.Controller.Watching() {
					scenario.victim = node
				}
			}
			scenario.victim.PlatformUnreachable.Store(true)
			code, result := f.Nodes[0].Apply(workKind(700))
			g.Expect(code).To(Equal(200))
			time.Sleep(ms * time.Millisecond)
			scenario.partition(func(node *fleet.Node) bool { return node == scenario.victim })
			time.Sleep(time.Minute)
			scenario.heal()
			g.Expect(fleet.WaitUntil(applyLimit, func() bool { scenario.checkRevisions(); return allHaveRevision(f, result.Revision) })).To(BeTrue(), "cut after %d ms", ms)
		})
	}
}

// watchApplyLimit is the time of a change through a working watch: the watch answers
// at once and peers fetch after one or two gossip rounds.
const watchApplyLimit = 3 * time.Second
