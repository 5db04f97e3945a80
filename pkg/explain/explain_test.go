package explain

import (
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a ring that grows, or that drops a decision before Size newer ones.
func TestRingKeepsTheLatest(t *testing.T) {
	g := NewWithT(t)
	ring := &Ring{}
	for i := range Capacity + 1 {
		ring.Add(Decision{RequestID: strconv.Itoa(i)})
	}
	g.Expect(ring.Find("0")).To(BeEmpty())
	g.Expect(ring.Find("1")).To(HaveLen(1))
	g.Expect(ring.Find(strconv.Itoa(Capacity))).To(HaveLen(1))
}

// Guards against keeping more or less than 1 in 16 uneventful decisions.
func TestSampleOrdinary(t *testing.T) {
	g := NewWithT(t)
	ring := &Ring{}
	sampled := 0
	for range 1600 {
		if ring.SampleOrdinary() {
			sampled++
		}
	}
	g.Expect(sampled).To(Equal(100))
}
