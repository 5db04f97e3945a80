package canary

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/forward"
)

func recordWith(attempts ...forward.Attempt) *forward.Record {
	return &forward.Record{Service: "s", Route: "r", Attempts: attempts}
}

// Guards against attempts that were not executed, or latencies of cold targets, counting
// against a version.
func TestOutcomesExcludeUninformativeAttempts(t *testing.T) {
	g := NewWithT(t)
	o := NewOutcomes()
	o.Ended(recordWith(
		forward.Attempt{Order: 7, Canary: true, NotRun: true, Failed: true},
		forward.Attempt{Order: 7, Canary: true, Failed: true},
		forward.Attempt{Order: 7, Canary: true, Load: forward.Load{Cold: true}, Latency: time.Second},
		forward.Attempt{Order: 7, Status: 200, Latency: 220 * time.Millisecond},
		forward.Attempt{Latency: time.Second},
	))
	rows := o.Rows(map[uint64]bool{7: true})
	g.Expect(rows).To(HaveLen(2))
	canary := rows[Key{Service: "s", Order: 7, Route: "r", Canary: true}]
	g.Expect([]uint64{canary.Requests, canary.Failures}).To(Equal([]uint64{2, 1}))
	g.Expect(canary.LatencyList()).To(BeEmpty())
	base := rows[Key{Service: "s", Order: 7, Route: "r"}]
	timed := base.Since(Counts{})
	g.Expect(timed.Timed()).To(Equal(1))
	g.Expect(o.Rows(nil)).To(BeEmpty(), "counts of ended rollouts are dropped")
}

// Guards against a slow version whose slow attempts are left out because a hedge overtook
// them, and against clients that disconnect early making a version look fast.
func TestOvertakenAttemptsCountAsSlow(t *testing.T) {
	g := NewWithT(t)
	o := NewOutcomes()
	o.Ended(recordWith(
		forward.Attempt{Order: 7, Canary: true, Superseded: true, Latency: 500 * time.Millisecond},
		forward.Attempt{Order: 7, Status: 200, Latency: 200 * time.Millisecond},
	))
	o.Ended(recordWith(forward.Attempt{Order: 7, Canary: true, Latency: 20 * time.Millisecond}))
	canary := o.Rows(map[uint64]bool{7: true})[Key{Service: "s", Order: 7, Route: "r", Canary: true}]
	timed := canary.Since(Counts{})
	g.Expect(canary.Requests).To(Equal(uint64(2)))
	g.Expect([]int{timed.Timed(), timed.CountAbove(400_000)}).To(Equal([]int{1, 1}))
}

// Guards against slow responses that are counted only long after the fast ones, and against a
// slow attempt that is counted both while it runs and when it ends.
func TestLateAttemptsCountWhileRunning(t *testing.T) {
	g := NewWithT(t)
	o := NewOutcomes()
	counts := func() Counts {
		return o.Rows(map[uint64]bool{7: true})[Key{Service: "s", Order: 7, Route: "r", Canary: true}]
	}
	slow := forward.Attempt{Order: 7, Canary: true, Slow: true, Latency: 700 * time.Millisecond}
	o.SlowAttempt(recordWith(), &slow)
	before := counts()
	timed := before.Since(Counts{})
	g.Expect(timed.CountAbove(400_000)).To(Equal(1))
	slow.Status, slow.Latency = 200, 2*time.Second
	o.Ended(recordWith(slow))
	g.Expect(counts()).To(Equal(before))
	slow.Failed = true
	o.Ended(recordWith(slow))
	g.Expect(counts().Failures).To(Equal(uint64(1)))
}

// Guards against a large change of a latency by its conversion to a bucket and back, and
// against counts lost in a LatencyList.
func TestLatencyBucketsPreserveValues(t *testing.T) {
	g := NewWithT(t)
	for _, latency := range []time.Duration{2 * time.Millisecond, 220 * time.Millisecond, 1760 * time.Millisecond, time.Minute} {
		ratio := float64(bucketMicros(bucketOf(latency))) / float64(latency.Microseconds())
		g.Expect(ratio).To(BeNumerically("~", 1, 0.35))
	}
	var c Counts
	c.Latencies[3], c.Latencies[9] = 2, 1
	var restored Counts
	restored.SetLatencies(c.LatencyList())
	g.Expect(restored).To(Equal(c))
	difference := c.Add(c).Since(c)
	g.Expect(difference.Timed()).To(Equal(3))
}

// Guards against a tail latency that is determined by a single slow request, or by too few
// requests.
func TestTailLatency(t *testing.T) {
	g := NewWithT(t)
	var c Counts
	g.Expect(c.LatencyQuantile(0.99)).To(BeZero())
	c.Latencies[bucketOf(200*time.Millisecond)] = 250
	c.Latencies[bucketOf(8*time.Second)] = 1
	g.Expect(c.LatencyQuantile(0.99)).To(BeNumerically("~", 200*time.Millisecond, 60*time.Millisecond))
	c.Latencies[bucketOf(time.Second)] = 10
	g.Expect(c.LatencyQuantile(0.99)).To(BeNumerically("~", time.Second, 300*time.Millisecond))
}
