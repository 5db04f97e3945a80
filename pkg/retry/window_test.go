package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against repeats that exceed the budget in some window although each node
// keeps to its part, with bursts and pauses at random.
func TestWindowBoundsRetriesInEachSpan(t *testing.T) {
	const (
		nodes = 19
		ratio = 0.2
		extra = 64.0
		span  = 10 * time.Second
	)
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(3, 4))
	start := time.Unix(1000, 0)
	windows := make([]*Window, nodes)
	for i := range windows {
		windows[i] = NewWindow(span, start)
	}
	var requests, retries []time.Time
	for step := range 6000 {
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		load := 1 + 5*(step/700%2)
		for range load {
			w := windows[random.IntN(nodes)]
			w.RecordRequest(now)
			requests = append(requests, now)
			for range 3 {
				if w.Acquire(now, ratio*0.8, extra*0.8/nodes) {
					retries = append(retries, now)
				}
			}
		}
	}
	countWithin := func(times []time.Time, from, to time.Time) (count float64) {
		for _, at := range times {
			if !at.Before(from) && at.Before(to) {
				count++
			}
		}
		return count
	}
	for second := range 50 {
		from := start.Add(time.Duration(second) * time.Second)
		allowed := 0.0
		for _, offset := range []time.Duration{0, span / 2, span} {
			allowed = max(allowed, countWithin(requests, from.Add(-offset), from.Add(span-offset)))
		}
		g.Expect(countWithin(retries, from, from.Add(span))).To(BeNumerically("<=", ratio*allowed+extra))
	}
	g.Expect(retries).NotTo(BeEmpty())
}

// Guards against a window that forgets nothing, or all, after a pause.
func TestWindowDropsEntriesAfterItsLength(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	w := NewWindow(10*time.Second, now)
	g.Expect(w.Acquire(now, 0.2, 1)).To(BeTrue())
	g.Expect(w.Acquire(now.Add(9*time.Second), 0.2, 1)).To(BeFalse())
	g.Expect(w.Acquire(now.Add(10*time.Second), 0.2, 1)).To(BeTrue())
	g.Expect(w.Acquire(now.Add(time.Hour), 0.2, 1)).To(BeTrue())
}
