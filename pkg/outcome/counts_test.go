package outcome

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a merge that changes its argument or loses latencies.
func TestMergeAddsWithoutChangingTheArgument(t *testing.T) {
	g := NewWithT(t)
	other := Counts{Requests: 2, Failures: 1, Histogram: NewHistogram()}
	g.Expect(other.Histogram.RecordValue(500)).To(Succeed())
	var sum Counts
	sum.Merge(other)
	sum.Merge(other)
	sum.Merge(Counts{Requests: 3})
	g.Expect([]int{sum.Requests, sum.Failures, sum.Timed()}).To(Equal([]int{7, 2, 2}))
	g.Expect(other.Timed()).To(Equal(1))
}

// Guards against the value itself being counted as above it, and against a nil histogram.
func TestCountAboveExcludesTheValue(t *testing.T) {
	g := NewWithT(t)
	counts := Counts{Histogram: NewHistogram()}
	for _, micros := range []int64{100, 1000, 1000, 5000} {
		g.Expect(counts.Histogram.RecordValue(micros)).To(Succeed())
	}
	g.Expect(counts.CountAbove(1000)).To(Equal(1))
	g.Expect(counts.CountAbove(99)).To(Equal(4))
	g.Expect((&Counts{}).CountAbove(1)).To(BeZero())
}
