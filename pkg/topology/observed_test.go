package topology

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a target that crashed being asked before every send, and against
// one that is back staying away for long.
func TestEjectionTimeGrowsUntilTheTargetIsReachable(t *testing.T) {
	g := NewWithT(t)
	o := &Observed{}
	now := start
	o.RecordUnreachable(now)
	g.Expect(o.View(now.Add(baseEjectionTime - 1)).Ejected).To(BeTrue())
	g.Expect(o.View(now.Add(baseEjectionTime)).Ejected).To(BeFalse())
	for range 8 {
		o.RecordUnreachable(now)
	}
	g.Expect(o.View(now.Add(maxEjectionTime - 1)).Ejected).To(BeTrue())
	g.Expect(o.View(now.Add(maxEjectionTime)).Ejected).To(BeFalse())
	o.RecordReachable()
	o.RecordUnreachable(now)
	g.Expect(o.View(now.Add(baseEjectionTime)).Ejected).To(BeFalse())
}

// Guards against a target that failed for a while being avoided long after.
func TestFailureRateDecays(t *testing.T) {
	g := NewWithT(t)
	o := &Observed{}
	for range 10 {
		o.Begin()
		o.End(start, true)
	}
	g.Expect(o.View(start).FailureRate).To(BeNumerically(">", 0.8))
	g.Expect(o.View(start.Add(4 * failureHalfLife)).FailureRate).To(BeNumerically("<", 0.06))
	g.Expect(o.View(start).Pending).To(BeZero())
}

// Guards against a target that says it is cold getting more than its turns, and
// against a warm one waiting for them.
func TestWarmupLimitsOnlyColdTargets(t *testing.T) {
	g := NewWithT(t)
	o := &Observed{}
	g.Expect(o.Acquire(start, time.Second)).To(BeTrue())
	o.SetWarmup(start, 3*time.Second, time.Second, 0.5)
	g.Expect(o.CanAcquire(start)).To(BeFalse())
	g.Expect(o.Acquire(start.Add(500*time.Millisecond), time.Second)).To(BeTrue())
	g.Expect(o.Acquire(start.Add(600*time.Millisecond), time.Second)).To(BeFalse())
	o.SetWarmup(start.Add(time.Second), 0, time.Second, 0)
	g.Expect(o.Acquire(start.Add(time.Second), time.Second)).To(BeTrue())
}

// Guards against requests to a target that wants none: a shorter notice that comes later
// does not end a longer one, and neither does an answer.
func TestBackOffAndLeavingPreventRequests(t *testing.T) {
	g := NewWithT(t)
	o := &Observed{}
	g.Expect(o.Acquire(start, time.Second)).To(BeTrue())
	g.Expect(o.BackOff(start, 4*time.Second)).To(BeTrue())
	g.Expect(o.BackOff(start.Add(time.Second), time.Second)).To(BeFalse())
	o.RecordReachable()
	for at, acquired := range map[time.Duration]bool{0: false, 3 * time.Second: false, 4 * time.Second: true} {
		g.Expect(o.Acquire(start.Add(at), time.Second)).To(Equal(acquired), at.String())
		g.Expect(o.View(start.Add(at)).BackOff).To(Equal(4*time.Second - at))
	}
	g.Expect(o.MarkLeaving()).To(BeTrue())
	g.Expect(o.MarkLeaving()).To(BeFalse())
	g.Expect(o.Acquire(start.Add(time.Hour), time.Second)).To(BeFalse())
}
