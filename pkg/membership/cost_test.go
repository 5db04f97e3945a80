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
func TestTrafficAndTickCost(t *testing.T) {
	sizes := []int{19, 50, 100, 150}
	if testing.Short() {
		sizes = sizes[:1]
	}
	for _, size := range sizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) { measureCost(t, size) })
	}
}

func measureCost(t *testing.T, size int) {
	const period = 10 * time.Second
	g := NewWithT(t)
	f := newFleet(size, 1)
	f.useCodec = true
	f.run(15*time.Second, nil)
	for _, n := range f.nodes {
		g.Expect(n.Joined()).To(BeTrue())
	}
	f.measure(t, "idle", period)
	f.publishRevision(1)
	f.measure(t, "new revision", period)
	for _, n := range f.nodes {
		fact, _ := n.Fact("revision")
		g.Expect(fact.Version).To(BeEquivalentTo(1))
		g.Expect(n.largest).To(BeNumerically("<", maxSyncBytes+1024))
	}
}

func (f *fleet) measure(t *testing.T, label string, d time.Duration) {
	for _, n := range f.nodes {
		n.sent, n.received, n.largest, n.processingTime = 0, 0, 0, 0
	}
	f.run(d, nil)
	sent, received, largest, processingTime := 0, 0, 0, time.Duration(0)
	for _, n := range f.nodes {
		sent, received, processingTime = sent+n.sent, received+n.received, processingTime+n.processingTime
		largest = max(largest, n.largest)
	}
	seconds := len(f.nodes) * int(d/time.Second)
	t.Logf("%s: sent %d B/s, received %d B/s, largest message %d B, %v per tick of %v with its messages",
		label, sent/seconds, received/seconds, largest, processingTime/time.Duration(seconds*int(time.Second/tickInterval)), tickInterval)
}

// publishRevision publishes a revision at one node; each node applies it.
func (f *fleet) publishRevision(revision uint64) {
	f.send("node-001", f.nodes["node-001"].Publish(Fact{Key: "revision", Version: revision, Value: make([]byte, 16)}))
	for _, n := range f.nodes {
		n.SetRevision(revision)
	}
}
