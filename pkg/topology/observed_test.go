package topology

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against probing a crashed target before every request, and against a long ejection of a
// target that is reachable again.
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

// Guards against avoiding a target long after a period of failures has ended.
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

// Guards against sending a cold target more requests than its warm-up limit allows, and against
// limiting a warm one.
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

// Guards against requests to a target that asked for none: neither a shorter back-off that is
// requested later nor a successful probe ends a longer one.
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
