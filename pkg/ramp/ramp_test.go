package ramp

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fireflychute/fireflychute/internal/faultmatrix"
)

const limit = 12

func fastWindow(n int) Window {
	return Window{Fast: n, LatencyMicros: 10_000, Seconds: 0.1}
}

// Guards against a level that rises by time, by too few requests or by requests
// that another node saw.
func TestLevelRisesOnlyOnFastRequests(t *testing.T) {
	g := NewWithT(t)
	r := New()
	for range 1000 {
		r.Observe(Window{Seconds: 0.1}, limit, true)
		r.Observe(Window{Slow: 1, LatencyMicros: 10_000, Seconds: 0.1}, limit, true)
	}
	g.Expect(r.Level()).To(Equal(1))
	r.Observe(fastWindow(7), limit, true)
	g.Expect(r.Level()).To(Equal(1))
	g.Expect(r.Observe(fastWindow(1), limit, true)).To(Equal(Raised))
	r.Observe(fastWindow(100), limit, false)
	g.Expect(r.Level()).To(Equal(2))
}

// Guards against a raise on reports alone, and against ignoring what other nodes'
// part of the level has shown.
func TestReportsCountOnlyWithOwnEvidence(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Set(4)
	observe := func(own, total int) Change {
		return r.Observe(Window{Fast: own, Total: total, Units: 1, LatencyMicros: 10_000, Seconds: 0.1}, limit, true)
	}
	g.Expect(observe(7, 1000)).To(Equal(Unchanged))
	g.Expect(observe(1, 0)).To(Equal(Raised))
	g.Expect(observe(8, 64)).To(Equal(Unchanged))
	g.Expect(observe(0, 4)).To(Equal(Raised))
}

// Guards against a level that stays up after a cold target failed or slowed.
func TestLevelFalls(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Set(8)
	slow := Window{Fast: 1, Slow: 2, LatencyMicros: 1, Seconds: 0.1}
	g.Expect(r.Observe(slow, limit, false)).To(Equal(Unchanged))
	g.Expect(r.Observe(slow, limit, false)).To(Equal(Unchanged))
	g.Expect(r.Observe(slow, limit, false)).To(Equal(Lowered))
	g.Expect(r.Level()).To(Equal(4))
	g.Expect(r.Observe(Window{Fast: 9, Failed: 1, LatencyMicros: 1, Seconds: 0.1}, limit, false)).To(Equal(Lowered))
	g.Expect(r.Level()).To(Equal(1))
}

// Guards against missing that a target is cold again under the same incarnation,
// and against taking low demand, slowness or a few slow requests alone for it.
func TestColdAgain(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.TargetCold, faultmatrix.RequestChoose)
	g := NewWithT(t)
	r := New()
	r.Set(limit)
	observe := func(windows int, window Window) {
		for range windows {
			r.Observe(window, limit, false)
		}
	}
	observe(50, fastWindow(10))
	observe(50, fastWindow(2))
	observe(50, fastWindow(10))
	slow := Window{Slow: 10, LatencyMicros: 40_000, Seconds: 0.1}
	observe(4, slow)
	observe(50, fastWindow(10))
	observe(1, Window{Slow: 2, LatencyMicros: 400_000, Seconds: 0.1})
	observe(50, fastWindow(10))
	g.Expect(r.Level()).To(Equal(limit))
	slow.Slow = 2
	observe(40, slow)
	g.Expect(r.Level()).To(Equal(1))
}

// Guards against any sequence of windows that raises the level by more than a
// doubling or with less than 8 well served requests per unit.
func TestEveryRaiseNeedsFastRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, fast := New(), 0
		for range rapid.IntRange(1, 200).Draw(t, "windows") {
			window := Window{
				Fast: rapid.IntRange(0, 20).Draw(t, "well"), Slow: rapid.IntRange(0, 5).Draw(t, "slow"),
				Failed: max(rapid.IntRange(-20, 1).Draw(t, "failed"), 0), LatencyMicros: 1000, Seconds: 0.1,
			}
			before := r.Level()
			change := r.Observe(window, limit, true)
			fast += window.Fast
			if r.Level() > before && (r.Level() > 2*before || fast < fastRequestsPerUnit*before || window.Failed > 0) {
				t.Fatalf("level %d to %d after %d served, window %+v", before, r.Level(), fast, window)
			}
			if change != Unchanged {
				fast = 0
			}
		}
	})
}
