package capacity

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/objectstore"
	"github.com/fireflychute/fireflychute/testbed/metastore"
)

// Guards against a wrong slope, and against a curve that is reported as linear.
func TestFit(t *testing.T) {
	g := NewWithT(t)
	line := Fit([]float64{1, 2, 4}, []float64{5, 7, 11})
	g.Expect([]float64{line.Slope, line.Intercept, line.At(10)}).To(HaveExactElements(
		BeNumerically("~", 2, 1e-9), BeNumerically("~", 3, 1e-9), BeNumerically("~", 23, 1e-9)))
	g.Expect(line.Linear).To(BeTrue())
	curve := Fit([]float64{1, 2, 3}, []float64{0, 3, 0})
	g.Expect(curve.Residual).To(BeNumerically("~", 2, 1e-9))
	g.Expect(curve.Linear).To(BeFalse())
}

// Guards against units that are lost or counted twice when target limits are divided over nodes.
func TestDividedUnitsSumToLimit(t *testing.T) {
	g := NewWithT(t)
	d := divideUnits(100)
	g.Expect(d.meanUnits * 100).To(BeNumerically("~", unitTargetsPerService*(slots+queue), 1e-9))
	g.Expect(d.withoutUnits).To(BeNumerically(">", 0))
}

// Guards against platform calls that are counted under the wrong mechanism.
func TestCallsAreCountedByMechanism(t *testing.T) {
	g := NewWithT(t)
	counter := newCallCounter()
	store := counter.wrap(metastore.NewDirectClient(metastore.NewServer(metastore.New()), nil))
	_, err := store.Create(t.Context(), objectstore.KindLease, "x", nil)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = store.Get(t.Context(), objectstore.KindLease, "x")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = store.Create(t.Context(), objectstore.KindManifest, objectstore.ManifestName, nil)
	g.Expect(err).NotTo(HaveOccurred())
	steady := map[string]float64{"leases, read": 0.5}
	g.Expect(counter.perUnit(2, steady, 1)).To(Equal(map[string]float64{
		"leases, read": 0.25, "leases, write": 0.5, "manifest writes, write": 0.5,
	}))
	g.Expect(counter.perUnit(1, nil, 0)).To(BeEmpty())
}

// Guards against measuring a full configuration in place of the delta of one change.
func TestDeltaIsSmallerThanFullConfiguration(t *testing.T) {
	g := NewWithT(t)
	c, err := measureChange(3)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.delta).To(BeNumerically("<", c.full/2))
	objects := declaration(3)
	g.Expect(objects[firstWorkKindIndex].Kind).To(Equal(api.KindWorkKind))
	g.Expect(objects).To(HaveLen(firstWorkKindIndex - 1 + 3*12))
}

// Guards against a table that does not mark a non-linear series.
func TestTableMarksNonLinearSeries(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	TablePrinter{Out: &out}.PrintFit("title", "nodes", []float64{1, 2, 3}, 4, Series{"line", []float64{1, 2, 3}}, Series{"curve", []float64{0, 3, 0}})
	g.Expect(out.String()).To(ContainSubstring("2 (not linear)"))
	g.Expect(out.String()).To(ContainSubstring("fit at 4"))
}
