package warmup

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/internal/faultmatrix"
)

const (
	rate   = 7.8
	factor = 1.5
	slack  = 5.0
	window = time.Second
)

// Guards against a cold target getting more than it bears from all nodes together,
// when all see it at the same moment and have more requests than they may send.
func TestFleetStaysWithinTheWarmupBound(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.TargetCold, faultmatrix.RequestChoose)
	for _, fleet := range []int{1, 3, 13, 19, 107} {
		g := NewWithT(t)
		random := rand.New(rand.NewPCG(1, uint64(fleet)))
		start := time.Unix(1000, 0)
		interval := Interval(rate, fleet)
		limiters := make([]Limiter, fleet)
		for i := range limiters {
			limiters[i].Start(start, interval, random.Float64())
		}
		var sent []time.Time
		for step := range 3000 {
			now := start.Add(time.Duration(step) * 10 * time.Millisecond)
			for i := range limiters {
				if limiters[i].Acquire(now, interval) {
					sent = append(sent, now)
				}
			}
		}
		most := 0
		for first := range sent {
			last := first
			for last < len(sent) && sent[last].Sub(sent[first]) < window {
				last++
			}
			most = max(most, last-first)
		}
		g.Expect(float64(most)).To(BeNumerically("<=", rate*factor+slack), "fleet of %d", fleet)
		g.Expect(len(sent)).To(BeNumerically(">", int(rate*20)), "the target must get work to become warm")
	}
}

// Guards against a target without a declared rate being flooded while it is cold.
func TestUnknownRateAllowsNextToNothing(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	var l Limiter
	l.Start(now, Interval(0, 5), 0)
	g.Expect(l.Acquire(now, Interval(0, 5))).To(BeTrue())
	g.Expect(l.Acquire(now.Add(time.Minute), Interval(0, 5))).To(BeFalse())
}
