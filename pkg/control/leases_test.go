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
		state := &leaseState{}
		if holding {
			state.epoch = 1
		}
		calls := 0
		for at := now; at.Before(now.Add(time.Minute)); at = at.Add(tickInterval) {
			if at.Before(state.retryAt) {
				continue
			}
			calls++
			state.scheduleRetry(at, random)
			if holding {
				g.Expect(state.retryAt.Sub(at)).To(BeNumerically("<", leaseDuration/3), "a holder tries again before its lease lapses")
			}
		}
		if !holding {
			g.Expect(calls).To(BeNumerically("<", 30), "one call in two seconds at the most on average")
		}
		state.resetBackoff()
		g.Expect(state.retryAt.After(now)).To(BeFalse())
	}
}
