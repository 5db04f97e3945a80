package bench

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against results that differ between runs of the same seed, and against nodes that together
// exceed a target's limit.
func TestRunIsReproducibleAndWithinLimits(t *testing.T) {
	g := NewWithT(t)
	s := Scenarios()[1]
	first, second := Run(s, "fireflychute", 0.95, 3*time.Second, 7), Run(s, "fireflychute", 0.95, 3*time.Second, 7)
	g.Expect(first.Latency.Equals(second.Latency)).To(BeTrue())
	g.Expect(first.SteadyLatency.Equals(second.SteadyLatency)).To(BeTrue())
	first.Latency, second.Latency, first.SteadyLatency, second.SteadyLatency = nil, nil, nil, nil
	g.Expect(first).To(Equal(second))
	g.Expect(first.MaxInFlight).To(BeNumerically("<=", s.Spec.Slots+s.Spec.Queue))
}

// Guards against comparing policies on different arrivals, and against requests without a response.
func TestEveryArrivalGetsOneResponse(t *testing.T) {
	g := NewWithT(t)
	s := Scenarios()[0]
	count := len(arrivals(s, 0.85, time.Second, 3))
	for _, name := range Policies() {
		r := Run(s, name, 0.85, time.Second, 3)
		g.Expect(r.Answered+r.Rejected+r.Failed).To(Equal(count), name)
	}
}

// Guards against probing that exceeds the measuring budget at some size of the fleet.
func TestProbeCostIsWithinBudget(t *testing.T) {
	for _, nodes := range []int{4, 19, 100} {
		cost := MeasureProbeCost(Scenarios()[0], nodes, true)
		NewWithT(t).Expect(cost.PerTarget).To(BeNumerically("<=", cost.Budget))
	}
}
