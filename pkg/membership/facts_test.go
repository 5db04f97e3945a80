package membership

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against an outdated peer, such as one that was paused, replacing a newer fact.
func TestStaleFactIsIgnored(t *testing.T) {
	g := NewWithT(t)
	m := newFleet(1, 1).nodes["node-000"]
	m.Publish(Fact{Key: "k", Epoch: 2, Version: 1})
	m.Handle(m.now, "peer", gossipPing("peer", Fact{Key: "k", Epoch: 1, Version: 9}))
	m.Handle(m.now, "peer", gossipPing("peer", Fact{Key: "k", Epoch: 2, Version: 0}))
	g.Expect(m.DrainChangedFacts()).To(Equal([]Fact{{Key: "k", Epoch: 2, Version: 1}}))
	m.Handle(m.now, "peer", gossipPing("peer", Fact{Key: "k", Epoch: 2, Version: 2}))
	g.Expect(m.DrainChangedFacts()).To(HaveLen(1))
}

// Guards against memory that grows with the number of facts, and against a
// rollout's fact being dropped in favour of a target's.
func TestFactsAreBounded(t *testing.T) {
	g := NewWithT(t)
	m := newFleet(1, 1).nodes["node-000"]
	for i := range MaxFacts + 10 {
		m.Publish(Fact{Key: fmt.Sprint(TargetPrefix, i), Version: 1})
	}
	m.Publish(Fact{Key: "rollout/a", Version: 1})
	m.Publish(Fact{Key: "large", Version: 1, Value: make([]byte, MaxFactBytes)})
	g.Expect(m.facts.facts).To(HaveLen(MaxFacts))
	g.Expect(m.facts.facts).To(And(HaveKey("rollout/a"), Not(HaveKey("large"))))
	g.Expect(m.DroppedFacts()).To(BeEquivalentTo(12))
}

// Guards against pushes of facts that multiply without bound.
func TestPushesAreBounded(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(19, 1)
	f.run(tickInterval*200, nil)
	n := f.nodes["node-004"]
	pushed := 0
	for i := range 100 {
		pushed += len(n.Publish(Fact{Key: fmt.Sprint(i), Version: 1}))
	}
	g.Expect(pushed).To(Equal(pushBurst * pushFanout))
	f.run(tickInterval*400, nil)
	for _, n := range f.nodes {
		g.Expect(n.DrainChangedFacts()).To(HaveLen(100))
	}
}
