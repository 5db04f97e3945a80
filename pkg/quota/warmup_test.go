package quota

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/internal/faultmatrix"
)

const (
	warmupRate   = 7.8
	warmupFactor = 1.5
	coldSlack    = 5.0
)

// acquireWarmup asks for a unit of the warm-up rate of the fleet's target.
func (f *simFleet) acquireWarmup(node *simNode, rate float64) bool {
	if !node.allocator.AcquireOf(context.Background(), WarmupLimit(f.key.Target, 0, rate)).OK {
		return false
	}
	f.sent = append(f.sent, f.now)
	return true
}

// Guards against a cold target receiving more requests from all nodes together than it handles,
// when all nodes discover it at the same time and have more requests than they may send, and when
// they have sent it nothing for a while before.
func TestFleetStaysWithinTheWarmupBound(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.TargetCold, faultmatrix.RequestChoose)
	for _, nodes := range []int{1, 3, 13, 19, 107} {
		for _, calm := range []time.Duration{0, 3 * time.Second, 20 * time.Second} {
			g := NewWithT(t)
			f := newSimFleet(nodes, uint64(nodes))
			f.acquireWarmup(f.nodes[0], warmupRate)
			f.now = f.now.Add(calm)
			for range 3000 {
				f.now = f.now.Add(10 * time.Millisecond)
				for _, node := range f.nodes {
					f.acquireWarmup(node, warmupRate)
				}
			}
			worst := worstWindow(f.sent, time.Second, start)
			g.Expect(float64(worst)).To(BeNumerically("<=", warmupRate*warmupFactor+coldSlack), "fleet of %d", nodes)
			g.Expect(len(f.sent)).To(BeNumerically(">", int(warmupRate*20)), "the target needs requests to become warm")
		}
	}
}

// Guards against a cold target without a declared rate being overloaded.
func TestUnknownWarmupRateAllowsNothing(t *testing.T) {
	g := NewWithT(t)
	f := newSimFleet(5, 1)
	for range 60 {
		f.now = f.now.Add(time.Second)
		g.Expect(f.acquireWarmup(f.nodes[0], 0)).To(BeFalse())
	}
}

// Guards against a cold target that gets the whole rate again after its owner has restarted.
func TestWarmupBoundHoldsWhileOwnersChange(t *testing.T) {
	for seed := range uint64(100) {
		f := newSimFleet(1+int(seed%14), seed)
		for range 12 {
			f.inject()
			for range 200 {
				f.now = f.now.Add(10 * time.Millisecond)
				node := f.nodes[f.sample()]
				if !node.frozen {
					f.acquireWarmup(node, warmupRate)
				}
			}
		}
		worst := worstWindow(f.sent, time.Second, start)
		if allowed := warmupRate*warmupFactor + coldSlack; float64(worst) > allowed {
			t.Errorf("seed %d: %d requests in one second, allowed %v", seed, worst, allowed)
		}
	}
}
