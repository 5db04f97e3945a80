package control

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against candidates that keep calling a platform that refuses by rate, and
// against a holder that waits until its lease has lapsed.
func TestFailedLeaseCallsBackOff(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(0, 0)
	for _, holding := range []bool{false, true} {
		held := &heldLease{}
		if holding {
			held.epoch = 1
		}
		calls := 0
		for at := now; at.Before(now.Add(time.Minute)); at = at.Add(tickTime) {
			if at.Before(held.retryAt) {
				continue
			}
			calls++
			held.backOff(at, random)
			if holding {
				g.Expect(held.retryAt.Sub(at)).To(BeNumerically("<", leaseTime/3), "a holder tries again before its lease lapses")
			}
		}
		if !holding {
			g.Expect(calls).To(BeNumerically("<", 30), "one call in two seconds at the most on average")
		}
		held.succeeded()
		g.Expect(held.retryAt.After(now)).To(BeFalse())
	}
}
