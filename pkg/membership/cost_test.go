package membership

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against messages that grow with the fleet, and logs what a node sends,
// receives and computes: idle, and with a new revision every 10 s that each node
// applies (5,900 changes a day are one every 15 s).
func TestCost(t *testing.T) {
	sizes := []int{19, 50, 100, 150}
	if testing.Short() {
		sizes = sizes[:1]
	}
	for _, size := range sizes {
		for _, changing := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d changing=%v", size, changing), func(t *testing.T) { cost(t, size, changing) })
		}
	}
}

func cost(t *testing.T, size int, changing bool) {
	const seconds = 20
	g := NewWithT(t)
	f := newFleet(size, 1)
	f.codec = true
	f.run(15*time.Second, nil)
	for _, n := range f.nodes {
		g.Expect(n.Joined()).To(BeTrue())
		n.sent, n.received, n.ticking = 0, 0, 0
	}
	for part := range 2 {
		if changing {
			f.change(uint64(part + 1))
		}
		f.run(seconds/2*time.Second, nil)
	}
	sent, received, largest, ticking := 0, 0, 0, time.Duration(0)
	for _, n := range f.nodes {
		sent, received, ticking = sent+n.sent, received+n.received, ticking+n.ticking
		largest = max(largest, n.largest)
		if changing {
			fact, _ := n.Fact("revision")
			g.Expect(fact.Version).To(BeEquivalentTo(2))
		}
	}
	g.Expect(largest).To(BeNumerically("<", syncBytes+1024))
	ticks := size * seconds * int(time.Second/step)
	t.Logf("sent %d B/s, received %d B/s, largest message %d B, %v per tick of %v with its messages",
		sent/size/seconds, received/size/seconds, largest, ticking/time.Duration(ticks), step)
}

// change publishes a revision at one node; each node applies it.
func (f *fleet) change(revision uint64) {
	f.send("node-001", f.nodes["node-001"].Publish(Fact{Key: "revision", Version: revision, Value: make([]byte, 16)}))
	for _, n := range f.nodes {
		n.SetRevision(revision)
	}
}
