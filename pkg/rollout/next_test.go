package rollout

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fireflychute/fireflychute/pkg/api"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func newSpec(total time.Duration) api.RolloutSpec {
	return api.RolloutSpec{Service: "s", From: "v1", To: "v2", CompleteBy: start.Add(total), MaxUnjudgedSharePercent: 10, State: api.RolloutStateActive}
}

// runSteps calls Next for every second and returns the last status.
func runSteps(spec api.RolloutSpec, status api.RolloutStatus, from, to time.Duration, observed func(at time.Duration, share float64) Observed) api.RolloutStatus {
	for at := from; at <= to; at += time.Second {
		status, _ = Next(start.Add(at), "n", 1, spec, 1, status, observed(at, status.SharePercent))
	}
	return status
}

// constantRate returns observations of a version that would get perSecond requests per second
// at a share of 100%.
func constantRate(perSecond float64) func(time.Duration, float64) Observed {
	exposure := 0.0
	return func(_ time.Duration, share float64) Observed {
		exposure += perSecond * share / 100
		return Observed{Exposure: int(exposure), Timed: int(exposure)}
	}
}

func conditionOf(status api.RolloutStatus, kind string) api.Condition {
	for _, c := range status.Conditions {
		if c.Type == kind {
			return c
		}
	}
	return api.Condition{}
}

// Guards against a good version that has not reached 100% by completeBy, and against skipped
// steps.
func TestGoodVersionIsMovedInTime(t *testing.T) {
	g := NewWithT(t)
	status := runSteps(newSpec(time.Minute), api.RolloutStatus{}, 0, time.Minute, constantRate(500))
	g.Expect(status.Phase).To(Equal(api.PhaseCompleted))
	g.Expect(conditionOf(status, ConditionCompleted).Status).To(Equal(api.ConditionStatusTrue))
	actions := []string{}
	for _, decision := range status.Decisions {
		actions = append(actions, decision.Action)
	}
	g.Expect(actions).To(Equal([]string{"SetShare 1%", "SetShare 5%", "SetShare 10%", "SetShare 25%", "SetShare 50%", "SetShare 100%"}))
}

// Guards against completing a rollout, or raising its share above the limit, without evidence
// after completeBy has passed, and against reporting Late only after completeBy.
func TestMissingVerdictKeepsTheShare(t *testing.T) {
	g := NewWithT(t)
	lowRate := constantRate(20)
	early := runSteps(newSpec(time.Minute), api.RolloutStatus{}, 0, 30*time.Second, lowRate)
	g.Expect(conditionOf(early, ConditionLate).Status).To(Equal(api.ConditionStatusTrue))
	past := runSteps(newSpec(time.Minute), early, 31*time.Second, 3*time.Minute, lowRate)
	g.Expect(past.Phase).To(Equal(api.PhaseProgressing))
	g.Expect(past.SharePercent).To(BeNumerically("<=", 10))
	g.Expect(conditionOf(past, ConditionLate).Reason).To(Equal(ReasonTimePassed))
	done := runSteps(newSpec(time.Minute), past, 181*time.Second, 4*time.Minute, constantRate(20000))
	g.Expect(done.Phase).To(Equal(api.PhaseCompleted))
	g.Expect(conditionOf(done, ConditionLate).Status).To(Equal(api.ConditionStatusTrue))
}

// Guards against a takeover that restarts a rollout or acts before its epoch is stored, and
// against a controller with an older epoch or configuration that changes the status.
func TestTakeoverKeepsStatus(t *testing.T) {
	g := NewWithT(t)
	before := runSteps(newSpec(time.Minute), api.RolloutStatus{}, 0, 30*time.Second, constantRate(500))
	after, changed := Next(start.Add(31*time.Second), "m", 2, newSpec(time.Minute), 1, before, Observed{Bad: true})
	g.Expect(changed).To(BeTrue())
	want := before
	want.Epoch = 2
	g.Expect(after).To(Equal(want))
	_, changed = Next(start.Add(32*time.Second), "n", 1, newSpec(time.Minute), 1, after, Observed{Bad: true})
	g.Expect(changed).To(BeFalse(), "a controller of an older epoch must change nothing")
	after.Generation = 2
	_, changed = Next(start.Add(32*time.Second), "m", 2, newSpec(time.Minute), 1, after, Observed{Bad: true})
	g.Expect(changed).To(BeFalse(), "a controller with an older configuration must change nothing")
}

// Guards against a bad version that stays in use in some phase of the rollout.
func TestBadVersionIsTakenBackInEachPhase(t *testing.T) {
	for _, at := range []time.Duration{0, 20 * time.Second, time.Minute} {
		g := NewWithT(t)
		status := runSteps(newSpec(time.Minute), api.RolloutStatus{}, 0, at, constantRate(500))
		status, _ = Next(start.Add(at+time.Second), "n", 1, newSpec(time.Minute), 1, status, Observed{Bad: true, Evidence: []api.Evidence{{Route: "r"}}})
		g.Expect(status.SharePercent).To(BeZero())
		g.Expect(conditionOf(status, ConditionRolledBack).Reason).To(Equal(ReasonBadVersion))
		g.Expect(status.Decisions[len(status.Decisions)-1].Evidence).To(HaveLen(1))
	}
}

// Guards against ignoring an operator's decision, and against a status that grows without bound.
func TestOperatorsRollBackAndBoundedDecisions(t *testing.T) {
	g := NewWithT(t)
	status := api.RolloutStatus{}
	spec := newSpec(time.Hour)
	for generation := 1; generation <= 2*MaxDecisions; generation++ {
		spec.State = api.RolloutStateActive
		if generation%2 == 0 {
			spec.State = api.RolloutStateRolledBack
		}
		status, _ = Next(start.Add(time.Duration(generation)*time.Second), "n", 1, spec, generation, status, Observed{})
	}
	g.Expect(conditionOf(status, ConditionRolledBack).Reason).To(Equal(ReasonOperator))
	g.Expect(status.Blocked).To(BeTrue())
	g.Expect(status.Decisions).To(HaveLen(MaxDecisions))
}

// Guards, for arbitrary observations, against: a share above the limit without a verdict; a
// block that is cleared within a generation; completion without exposure; more than one step
// in a call; and a second call with the same input that changes the status.
func TestInvariants(t *testing.T) {
	err := flag.Set("rapid.seed", "1")
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		spec := newSpec(time.Duration(rapid.IntRange(-10, 120).Draw(t, "total")) * time.Second)
		spec.MaxUnjudgedSharePercent = rapid.IntRange(1, 100).Draw(t, "unjudged")
		status, generation, now, exposure, blocked := api.RolloutStatus{}, 1, start, 0, false
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
			exposure += rapid.IntRange(0, 100).Draw(t, "exposure")
			observed := Observed{Exposure: exposure, Timed: exposure, Bad: rapid.IntRange(0, 30).Draw(t, "bad") == 0, Blocked: rapid.IntRange(0, 30).Draw(t, "blocked") == 0}
			if rapid.IntRange(0, 30).Draw(t, "renew") == 0 {
				generation, exposure, blocked = generation+1, 0, false
				observed.Exposure, observed.Timed = 0, 0
			}
			previous := status
			status, _ = Next(now, "n", 1, spec, generation, status, observed)
			blocked = blocked || observed.Bad || observed.Blocked
			again, changed := Next(now, "n", 1, spec, generation, status, observed)
			if changed {
				t.Fatalf("second call changed %+v to %+v", status, again)
			}
			if blocked && (!status.Blocked || status.SharePercent != 0) {
				t.Fatalf("block cleared within a generation: %+v", status)
			}
			if status.SharePercent > float64(spec.MaxUnjudgedSharePercent) && exposure < VerdictExposure {
				t.Fatalf("share %g above the limit without a verdict", status.SharePercent)
			}
			if status.Phase == api.PhaseCompleted && exposure < VerdictExposure {
				t.Fatalf("completed with exposure %d", exposure)
			}
			if len(status.Decisions) > len(previous.Decisions)+1 && len(previous.Decisions) < MaxDecisions {
				t.Fatalf("more than one decision in a call")
			}
		}
	})
}

// Guards against a verdict on a version whose targets were all cold, so that its latency was
// never judged.
func TestVerdictNeedsLatencies(t *testing.T) {
	g := NewWithT(t)
	untimed := func(time.Duration, float64) Observed { return Observed{Exposure: 10 * VerdictExposure} }
	status := runSteps(newSpec(time.Minute), api.RolloutStatus{}, 0, 2*time.Minute, untimed)
	g.Expect(status.Phase).To(Equal(api.PhaseProgressing))
	g.Expect(status.SharePercent).To(BeNumerically("==", 10))
	timed := func(time.Duration, float64) Observed {
		return Observed{Exposure: 10 * VerdictExposure, Timed: VerdictExposure}
	}
	status = runSteps(newSpec(time.Minute), status, 2*time.Minute, 3*time.Minute, timed)
	g.Expect(status.Phase).To(Equal(api.PhaseCompleted))
}
