package placement

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against refused callers that all return at the same time, or to a service
// that still refuses most requests.
func TestReturnGrowsWithTheRefusedShare(t *testing.T) {
	g := NewWithT(t)
	p := &Pressure{}
	calm := p.Return(0.5)
	g.Expect(calm).To(Equal(minReturn))
	for range 200 {
		p.Note(true)
	}
	g.Expect(p.Return(0.5)).To(BeNumerically(">", 4*calm))
	g.Expect(p.Return(0)).To(BeNumerically("<", p.Return(1)*2/3))
	for range 200 {
		p.Note(false)
	}
	g.Expect(p.Return(0.5)).To(BeNumerically("<", 2*calm))
}
