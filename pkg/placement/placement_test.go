package placement

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
)

func idleCandidate() Candidate { return Candidate{Slots: 6, Slowdown: 1, Local: true} }

// Guards against a load pattern that makes a target slow being chosen over an idle,
// ordinary one.
func TestCostRisesWithEachSignOfLoad(t *testing.T) {
	worse := map[string]func(c *Candidate){
		"noisy neighbour":   func(c *Candidate) { c.Slowdown = 5 },
		"few free slots":    func(c *Candidate) { c.Running = 5 },
		"queue":             func(c *Candidate) { c.Running, c.Waiting = 6, 3 },
		"cold":              func(c *Candidate) { c.Cold = true },
		"fails fast":        func(c *Candidate) { c.FailureRate = 0.4 },
		"other data centre": func(c *Candidate) { c.Local = false },
	}
	for name, change := range worse {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := idleCandidate()
			change(&c)
			g.Expect(NewModel().Cost(c)).To(BeNumerically(">", NewModel().Cost(idleCandidate())))
		})
	}
}

// Guards against a local target that is clearly slower being preferred only to keep
// traffic in the data centre.
func TestLoadOutweighsDataCentreLocality(t *testing.T) {
	g := NewWithT(t)
	local, remote := idleCandidate(), idleCandidate()
	local.Slowdown, remote.Local = 1.5, false
	g.Expect(NewModel().Cost(remote)).To(BeNumerically("<", NewModel().Cost(local)))
}

// Guards against overload in which less urgent requests fill the queues before more
// urgent ones are refused, and against queues that only make requests late.
func TestLessUrgentRoutesAreRejectedFirst(t *testing.T) {
	g := NewWithT(t)
	c := idleCandidate()
	c.Running = 6
	admitted := func(reserve int) int {
		for c.Waiting = 0; HasCapacity(c, InFlightLimit(c.Slots, reserve)); c.Waiting++ {
		}
		return c.Waiting
	}
	g.Expect(admitted(0)).To(Equal(3))
	g.Expect(admitted(1)).To(Equal(2))
	g.Expect(InFlightLimit(1, 5)).To(Equal(1), "a target without a request always has room")
}

// Guards against a target that is taken to have room by one request too many.
func TestCapacityCountsRunningAndWaiting(t *testing.T) {
	g := NewWithT(t)
	c := Candidate{Running: 2, Waiting: 2, Slots: 6}
	g.Expect(HasCapacity(c, 5)).To(BeTrue())
	g.Expect(HasCapacity(c, 4)).To(BeFalse())
}

// Guards against a sample with repeated targets, and one that favours some.
func TestSampleIsUniformWithoutRepeats(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	counts := map[int]int{}
	for range 10_000 {
		all := []int{0, 1, 2, 3, 4, 5, 6, 7}
		seen := map[int]bool{}
		for _, drawn := range Sample(random, all, 3) {
			g.Expect(seen[drawn]).To(BeFalse())
			seen[drawn] = true
			counts[drawn]++
		}
	}
	for drawn := range 8 {
		g.Expect(counts[drawn]).To(BeNumerically("~", 3750, 250))
	}
	g.Expect(Sample(random, []int{1}, 5)).To(HaveLen(1))
}

// Guards against a sample of positions with repeats or without some of them.
func TestSampledIndicesAreUniformWithoutRepeats(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	counts := map[int]int{}
	for range 10_000 {
		seen := map[int]bool{}
		for _, drawn := range SampleIndices(random, 8, 3) {
			g.Expect(seen[drawn]).To(BeFalse())
			seen[drawn] = true
			counts[drawn]++
		}
	}
	for drawn := range 8 {
		g.Expect(counts[drawn]).To(BeNumerically("~", 3750, 250))
	}
	g.Expect(SampleIndices(random, 2, 5)).To(ConsistOf(0, 1))
	g.Expect(SampleIndices(random, 0, 5)).To(BeEmpty())
}
