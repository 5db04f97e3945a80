package transport

import (
	"sync"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards (P6) against a request being sealed while its writer passes bytes on.
func TestSealAndWriteAreMutuallyExclusive(t *testing.T) {
	g := NewWithT(t)
	for range 2000 {
		a := &attempt{}
		var sealed, wrote bool
		var both sync.WaitGroup
		both.Go(func() { sealed = a.seal() })
		both.Go(func() {
			wrote = a.startWrite()
			if wrote {
				a.endWrite(1)
			}
		})
		both.Wait()
		g.Expect(sealed).NotTo(Equal(wrote))
	}
}

// Guards against a write of which the kernel took nothing counting as sent.
func TestFailedWriteKeepsAttemptOpen(t *testing.T) {
	g := NewWithT(t)
	a := &attempt{}
	g.Expect(a.startWrite()).To(BeTrue())
	g.Expect(a.seal()).To(BeFalse())
	a.endWrite(0)
	g.Expect(a.seal()).To(BeTrue())
	g.Expect(a.startWrite()).To(BeFalse())
}
