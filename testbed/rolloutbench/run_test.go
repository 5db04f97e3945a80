package rolloutbench

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against results that differ between runs of the same seed.
func TestRunsAreRepeatable(t *testing.T) {
	g := NewWithT(t)
	d := Deployments[1]
	g.Expect(Run(d, RolloutTypes[1], 7)).To(Equal(Run(d, RolloutTypes[1], 7)))
}

// Guards against decision code that rolls back good versions or completes bad ones, checked at the
// first seeds of the benchmark.
func TestGoodVersionsCompleteAndBadOnesRollBack(t *testing.T) {
	g := NewWithT(t)
	d := Deployments[1]
	good := Summarise(RunMany(d, RolloutTypes[0], 3, 2))
	g.Expect([]int{good.InTime, good.RolledBack, good.ReportedLate}).To(Equal([]int{3, 0, 0}))
	for _, kind := range RolloutTypes[1:] {
		if kind.Onset == UnderLoad {
			continue // not every rollout is rolled back; the table shows how many
		}
		bad := Summarise(RunMany(d, kind, 3, 2))
		g.Expect(bad.RolledBack).To(Equal(3), kind.Name)
		g.Expect(bad.MaxShare).To(BeNumerically("<=", 25), kind.Name)
	}
}
