package quota

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The bound of the users' platform: in any window, boundFactor times what the limit allows, and
// boundSlack more.
const (
	boundWindow = 4 * time.Second
	boundFactor = 1.5
	boundSlack  = 5
)

// Guards against the nodes together exceeding a limit while they restart, freeze, join, are cut off
// from each other, and hear of the limit at different times.
func TestFleetKeepsTheLimitUnderFaults(t *testing.T) {
	for seed := range uint64(400) {
		f := newSimFleet(1+int(seed%14), seed)
		rate := []float64{0.3, 1.1, 2, 6, 20, 90}[f.random.IntN(6)]
		f.limit = named(rate)
		load := 4*rate + 10
		f.run(2*time.Second, load)
		from := f.now
		for range 12 {
			f.inject()
			f.run(time.Duration(f.random.Int64N(int64(4*time.Second))), load)
		}
		allowed := boundFactor*rate*boundWindow.Seconds() + boundSlack
		worst := worstWindow(f.sent, boundWindow, from.Add(boundWindow))
		if float64(worst) > allowed {
			t.Errorf("seed %d, %d nodes, limit %v: %d in %v, allowed %v", seed, len(f.nodes), rate, worst, boundWindow, allowed)
		}
	}
}

// inject makes one random fault, or ends one.
func (f *simFleet) inject() {
	node := f.nodes[f.random.IntN(len(f.nodes))]
	switch f.random.IntN(6) {
	case 0:
		f.restart(node)
	case 1:
		node.frozen = !node.frozen
	case 2:
		for _, other := range f.nodes {
			other.group = f.random.IntN(2)
		}
	case 3:
		for _, other := range f.nodes {
			other.group = 0
		}
		f.listNodes()
	case 4:
		f.join()
		f.listNodes()
	case 5:
		node.group = 2 + f.random.IntN(3)
	}
}

// Guards against a limit that nobody may use: after the owner has gone another node grants its units,
// and the end of the limit is noticed without a request of a caller.
func TestLimitIsUsedAndEndsWithoutItsOwner(t *testing.T) {
	for _, rate := range []float64{0, 1.5, 6} {
		g := NewWithT(t)
		f := newSimFleet(9, 3)
		f.limit = named(rate)
		f.nodes[0].table.Observe(f.key, f.limit, f.now, f.now)
		f.run(5*time.Second, 40)
		owners := f.nodes[0].allocator.fleet.Load().owners(f.key)
		for _, node := range f.nodes {
			node.frozen = node.Name == owners[0]
		}
		f.run(4*time.Second, 40)
		before := len(f.sent)
		f.run(20*time.Second, 40)
		g.Expect(float64(len(f.sent)-before)).To(BeNumerically(">=", 20*ownerRate(rate, 1)/2), "limit %v", rate)
		f.limit = Statement{}
		for range 20 { // the nodes send nothing of their own
			f.now = f.now.Add(500 * time.Millisecond)
			f.gossip()
			f.maintain()
		}
		for _, node := range f.nodes {
			_, limited := node.table.Get(f.key)
			g.Expect(limited).To(Equal(node.frozen), "limit %v, %s", rate, node.Name)
		}
	}
}
