package fleet_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/message"
	"github.com/fireflychute/fireflychute/pkg/snapshot"
	"github.com/fireflychute/fireflychute/testbed/fleet"
)

// Guards against a snapshot for each fact when many targets change at once, and
// against a last change that traffic never sees.
func TestManyFactsShareSnapshots(t *testing.T) {
	const facts, lastLevel = 100, 5
	withFleet(t, 1, func(g *WithT, f *fleet.Fleet) {
		node := f.Nodes[0]
		address := fleet.Targets(service, "v1", 0, 1)[0].Address
		before := node.Controller.Counters().Snapshots()
		for i := range facts {
			level := 1 + (facts-1-i)%2*2 // 3, 1, 3, ... 1
			if i == facts-1 {
				level = lastLevel
			}
			node.Controller.Deliver("other", message.Message{From: "other", Ping: &message.Ping{Gossip: &message.Gossip{Facts: []message.Fact{{
				Key: "target/ramp/" + address, Epoch: 2, Version: uint64(1 + i), Value: fmt.Appendf(nil, `{"incarnation":"a","level":%d}`, level),
			}}}}})
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond)
		g.Expect(node.Controller.Counters().Snapshots() - before).To(And(BeNumerically(">", 5), BeNumerically("<", 20)))
		g.Expect(hasActiveTarget(f, func(t *snapshot.Target) bool { return t.Address == address && t.Units == lastLevel })).To(BeTrue())
	})
}
