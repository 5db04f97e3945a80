package revision

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against a revision of an older era that is taken for newer because its number is higher.
func TestRevisionsAreOrderedByEraFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		eraA, eraB := rapid.Uint64Range(0, MaxEra).Draw(t, "eraA"), rapid.Uint64Range(0, MaxEra).Draw(t, "eraB")
		numberA, numberB := rapid.Uint64Range(0, maxNumber).Draw(t, "numberA"), rapid.Uint64Range(0, maxNumber).Draw(t, "numberB")
		a, err := New(eraA, numberA)
		g.Expect(err).NotTo(HaveOccurred())
		b, err := New(eraB, numberB)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(a.After(b)).To(Equal(eraA > eraB || eraA == eraB && numberA > numberB))
		g.Expect(a.EraAfter(b)).To(Equal(eraA > eraB))
		g.Expect(Decode(a.Encode())).To(Equal(a))
		g.Expect([]uint64{a.Era(), a.Number()}).To(Equal([]uint64{eraA, numberA}))
	})
}

// Guards against an era or a number that runs over into the other.
func TestRevisionThatIsTooLargeIsRejected(t *testing.T) {
	g := NewWithT(t)
	_, err := New(MaxEra+1, 0)
	g.Expect(err).To(HaveOccurred())
	_, err = New(0, maxNumber+1)
	g.Expect(err).To(HaveOccurred())
}
