package rolloutbench

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a table of runs that cannot be repeated.
func TestRunsAreRepeatable(t *testing.T) {
	g := NewWithT(t)
	d := Deployments[1]
	g.Expect(Run(d, RolloutTypes[1], 7)).To(Equal(Run(d, RolloutTypes[1], 7)))
}

// Guards against decision code that blames good versions or lets bad ones pass,
// at the seeds that the table begins with.
func TestGoodVersionsCompleteAndBadOnesRollBack(t *testing.T) {
	g := NewWithT(t)
	d := Deployments[1]
	good := Summarise(RunMany(d, RolloutTypes[0], 3, 2))
	g.Expect([]int{good.InTime, good.RolledBack, good.ReportedLate}).To(Equal([]int{3, 0, 0}))
	for _, kind := range RolloutTypes[1:] {
		if kind.Onset == UnderLoad {
			continue // the table shows what is missed
		}
		bad := Summarise(RunMany(d, kind, 3, 2))
		g.Expect(bad.RolledBack).To(Equal(3), kind.Name)
		g.Expect(bad.MaxShare).To(BeNumerically("<=", 25), kind.Name)
	}
}
