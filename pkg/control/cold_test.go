package control

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/targets"
)

// Guards against a returned data centre that never counts as back because its
// targets, cold for lack of traffic, are sometimes busy.
func TestColdTargetIsRampLimitedOnlyWhenBusyMostOfTheTime(t *testing.T) {
	g := NewWithT(t)
	cases := []struct {
		busyIn10 int
		limited  bool
	}{{3, false}, {9, true}}
	for _, c := range cases {
		cold := coldTargets{}
		entry := targets.Entry{Address: "127.0.0.1:1", Counters: &targets.Counters{}}
		cold.track(entry, 1)
		for i := range 200 {
			entry.Counters.InFlight.Store(0)
			if i%10 < c.busyIn10 {
				entry.Counters.InFlight.Store(1)
			}
			cold.sample()
		}
		g.Expect(cold.isRampLimited(entry.Address)).To(Equal(c.limited), "busy in %d of 10", c.busyIn10)
	}
}
