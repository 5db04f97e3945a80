package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/internal/faultmatrix"
)

func fleetOf(n int) []Candidate {
	candidates := make([]Candidate, n)
	for i := range candidates {
		candidates[i] = Candidate{Units: 2, Reported: 3, LatencyMicros: 10_000, Local: true}
	}
	return candidates
}

func countChoices(candidates []Candidate) map[int]int {
	random := rand.New(rand.NewPCG(1, 2))
	counts := map[int]int{}
	for range 2000 {
		index, _, ok := Choose(candidates, 6, random)
		if ok {
			counts[index]++
		}
	}
	return counts
}

// Guards against sending above this node's units.
func TestChooseSkipsTargetsWithoutFreeUnits(t *testing.T) {
	g := NewWithT(t)
	candidates := fleetOf(3)
	candidates[1].InFlight = 2
	g.Expect(countChoices(candidates)).NotTo(HaveKey(1))
	candidates[0].Units, candidates[2].Units = 0, 0
	g.Expect(countChoices(candidates)).To(BeEmpty())
}

// Guards against a target attracting traffic by an idle report while it answers
// slowly or its failures are counted as slow responses.
func TestChooseAvoidsIdleLookingSlowTarget(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.TargetSlow, faultmatrix.RequestChoose)
	g := NewWithT(t)
	candidates := fleetOf(10)
	candidates[4].Reported, candidates[4].LatencyMicros = 0, 50_000
	g.Expect(countChoices(candidates)[4]).To(BeNumerically("<", 20))
}

// Guards against a target that fails fast taking all work while the others are full.
func TestChooseNeverTakesFailingTargetUnderLoad(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.TargetFailing, faultmatrix.RequestChoose)
	g := NewWithT(t)
	candidates := fleetOf(3)
	candidates[1].LatencyMicros = 600_000
	g.Expect(countChoices(candidates)).NotTo(HaveKey(1))
	candidates[0].InFlight, candidates[2].InFlight = 2, 2
	g.Expect(countChoices(candidates)).To(BeEmpty())
	g.Expect(countChoices(candidates[1:2])).NotTo(BeEmpty())
}

// Guards against all nodes herding to the target with the lowest report.
func TestChooseSpreadsOverEqualViews(t *testing.T) {
	g := NewWithT(t)
	candidates := fleetOf(20)
	candidates[7].Reported = 0
	g.Expect(countChoices(candidates)[7]).To(BeNumerically("<=", 2000*3/20*5/4))
}

// Guards against hot targets being used while others are not hot, and against
// refusing when all are hot.
func TestChooseHotRule(t *testing.T) {
	g := NewWithT(t)
	candidates := fleetOf(3)
	candidates[0].Reported = 12
	g.Expect(countChoices(candidates)).NotTo(HaveKey(0))
	for i := range candidates {
		candidates[i].Reported = 12
	}
	g.Expect(countChoices(candidates)).NotTo(BeEmpty())
}

// Guards against crossing data centres without need.
func TestChoosePrefersLocal(t *testing.T) {
	g := NewWithT(t)
	candidates := fleetOf(3)
	candidates[0].Local = false
	g.Expect(countChoices(candidates)).NotTo(HaveKey(0))
}

// Guards against trusting an old report as much as a new one, and against
// forgetting requests that were sent since.
func TestReportWeightDecaysWithAge(t *testing.T) {
	g := NewWithT(t)
	fleet := Fleet{MeanReported: 4}
	g.Expect(Load(&Candidate{Reported: 0}, fleet)).To(Equal(0.0))
	g.Expect(Load(&Candidate{Reported: 0, ReportAge: reportHalfLife}, fleet)).To(Equal(2.0))
	g.Expect(Load(&Candidate{Reported: 0, ReportAge: time.Hour}, fleet)).To(BeNumerically("~", 4, 0.01))
	g.Expect(Load(&Candidate{ReportAge: -1}, fleet)).To(Equal(4.0))
	g.Expect(Load(&Candidate{Reported: 1, SentSince: 5, InFlight: 2}, fleet)).To(Equal(3.0))
}

// Guards against allocations on the hot path.
func TestChooseDoesNotAllocate(t *testing.T) {
	candidates, random := fleetOf(20), rand.New(rand.NewPCG(1, 2))
	NewWithT(t).Expect(testing.AllocsPerRun(100, func() { Choose(candidates, 6, random) })).To(BeZero())
}

func BenchmarkChoose20(b *testing.B) {
	candidates, random := fleetOf(20), rand.New(rand.NewPCG(1, 2))
	b.ReportAllocs()
	for b.Loop() {
		Choose(candidates, 6, random)
	}
}
