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

// Guards against a target that stays cold after it reported to be warm, or counts as warm before its
// warm-up time is over.
func TestTargetIsColdForTheReportedTime(t *testing.T) {
	g := NewWithT(t)
	o := &Observed{}
	g.Expect(o.View(start).Cold).To(BeFalse())
	o.SetWarmup(start, 3*time.Second)
	g.Expect(o.View(start.Add(3*time.Second - 1)).Cold).To(BeTrue())
	g.Expect(o.View(start.Add(3 * time.Second)).Cold).To(BeFalse())
	o.SetWarmup(start.Add(time.Second), 0)
	g.Expect(o.View(start.Add(time.Second)).Cold).To(BeFalse())
}

// Guards against requests to a target that asked for none: neither a shorter back-off that is
// requested later nor a successful probe ends a longer one.
func TestBackOffAndLeavingPreventRequests(t *testing.T) {
	g := NewWithT(t)
	o := &Observed{}
	g.Expect(o.Accepts(start)).To(BeTrue())
	g.Expect(o.BackOff(start, 4*time.Second)).To(BeTrue())
	g.Expect(o.BackOff(start.Add(time.Second), time.Second)).To(BeFalse())
	o.RecordReachable()
	for at, acquired := range map[time.Duration]bool{0: false, 3 * time.Second: false, 4 * time.Second: true} {
		g.Expect(o.Accepts(start.Add(at))).To(Equal(acquired), at.String())
		g.Expect(o.View(start.Add(at)).BackOff).To(Equal(4*time.Second - at))
	}
	g.Expect(o.MarkLeaving()).To(BeTrue())
	g.Expect(o.MarkLeaving()).To(BeFalse())
	g.Expect(o.Accepts(start.Add(time.Hour))).To(BeFalse())
}
