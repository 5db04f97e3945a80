package placement

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
)

func idleCandidate() Candidate { return Candidate{Slots: 6, Slowdown: 1, Local: true} }

// Guards against a slow, loaded, cold, failing or remote target being preferred to an idle,
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

// Guards against a clearly slower local target being preferred only to keep traffic in the data
// centre.
func TestLoadOutweighsDataCentreLocality(t *testing.T) {
	g := NewWithT(t)
	local, remote := idleCandidate(), idleCandidate()
	local.Slowdown, remote.Local = 1.5, false
	g.Expect(NewModel().Cost(remote)).To(BeNumerically("<", NewModel().Cost(local)))
}

// Guards against less urgent requests that fill the queues under overload, so that more urgent
// ones are rejected, and against queues so long that requests miss their objective.
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
	g.Expect(InFlightLimit(1, 5)).To(Equal(1), "a target without requests always accepts one")
}

// Guards against an off-by-one in the check for free capacity.
func TestCapacityCountsRunningAndWaiting(t *testing.T) {
	g := NewWithT(t)
	c := Candidate{Running: 2, Waiting: 2, Slots: 6}
	g.Expect(HasCapacity(c, 5)).To(BeTrue())
	g.Expect(HasCapacity(c, 4)).To(BeFalse())
}

// Guards against samples with repeated or favoured elements.
func TestSampleIsUniformWithoutRepeats(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	counts := map[int]int{}
	for range 10_000 {
		all := []int{0, 1, 2, 3, 4, 5, 6, 7}
		seen := map[int]bool{}
		for _, sampled := range Sample(random, all, 3) {
			g.Expect(seen[sampled]).To(BeFalse())
			seen[sampled] = true
			counts[sampled]++
		}
	}
	for sampled := range 8 {
		g.Expect(counts[sampled]).To(BeNumerically("~", 3750, 250))
	}
	g.Expect(Sample(random, []int{1}, 5)).To(HaveLen(1))
}

// Guards against samples of indices with repeated, favoured or missing ones.
func TestSampledIndicesAreUniformWithoutRepeats(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	counts := map[int]int{}
	for range 10_000 {
		seen := map[int]bool{}
		for _, sampled := range SampleIndices(random, 8, 3) {
			g.Expect(seen[sampled]).To(BeFalse())
			seen[sampled] = true
			counts[sampled]++
		}
	}
	for sampled := range 8 {
		g.Expect(counts[sampled]).To(BeNumerically("~", 3750, 250))
	}
	g.Expect(SampleIndices(random, 2, 5)).To(ConsistOf(0, 1))
	g.Expect(SampleIndices(random, 0, 5)).To(BeEmpty())
}
