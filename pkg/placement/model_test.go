package placement

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const modelServiceTime = 200 * time.Millisecond

// trainedModel returns a model that has seen requests at idle targets.
func trainedModel() *Model {
	m := NewModel()
	for range 50 {
		m.ObserveLatency(idleCandidate(), modelServiceTime)
	}
	return m
}

// Guards against figures of one deployment that stand for all: what a nearly full and a
// cold target cost is learned from requests.
func TestModelLearnsBusyAndColdFactors(t *testing.T) {
	g := NewWithT(t)
	m := trainedModel()
	g.Expect(m.ServiceTime()).To(BeNumerically("~", modelServiceTime, time.Millisecond))
	full, cold := idleCandidate(), idleCandidate()
	full.Running, cold.Cold = 5, true
	for range 200 {
		m.ObserveLatency(full, 3*modelServiceTime)
		m.ObserveLatency(cold, 4*modelServiceTime)
	}
	g.Expect(m.RelativeLatency(full)).To(BeNumerically("~", 3, 0.1))
	g.Expect(m.RelativeLatency(cold)).To(BeNumerically("~", 4, 0.1))
}

// Guards against requests on a slow machine, or behind a queue, that make the route's
// work look longer than it is.
func TestServiceTimeExcludesSlowdownAndQueueing(t *testing.T) {
	g := NewWithT(t)
	m := trainedModel()
	slow, queued := idleCandidate(), idleCandidate()
	slow.Slowdown, queued.Running = 5, 8
	for range 50 {
		m.ObserveLatency(slow, 5*modelServiceTime)
		m.ObserveLatency(queued, 4*modelServiceTime)
	}
	g.Expect(m.ServiceTime()).To(BeNumerically("~", modelServiceTime, time.Millisecond))
}

// Guards against a few requests at targets that turned slow after they had told their
// load, after which a node with little traffic would take all targets for too slow.
func TestServiceTimeIsRobustToOutliers(t *testing.T) {
	g := NewWithT(t)
	m := NewModel()
	for i := range 30 {
		took := modelServiceTime
		if i%4 == 0 {
			took = 5 * modelServiceTime
		}
		m.ObserveLatency(idleCandidate(), took)
		if i > 0 {
			g.Expect(m.ServiceTime()).To(Equal(modelServiceTime))
		}
	}
}

// Guards against requests sent to a target where they will be late, or are given up by
// their caller before they end.
func TestPredictionFollowsObjectiveAndDeadline(t *testing.T) {
	for name, c := range map[string]struct {
		change func(c *Candidate)
		need   TimeBudget
		fit    Prediction
	}{
		"idle":                  {func(*Candidate) {}, TimeBudget{Objective: 400 * time.Millisecond, Deadline: time.Second}, MeetsObjective},
		"slow":                  {func(c *Candidate) { c.Slowdown = 3 }, TimeBudget{Objective: 400 * time.Millisecond, Deadline: time.Second}, MissesObjective},
		"slower than the rest":  {func(c *Candidate) { c.Slowdown = 6 }, TimeBudget{Objective: 400 * time.Millisecond, Deadline: time.Second}, MissesDeadline},
		"objective nearly over": {func(*Candidate) {}, TimeBudget{Objective: 210 * time.Millisecond, Deadline: time.Second}, MissesObjective},
		"objective over":        {func(*Candidate) {}, TimeBudget{Objective: -time.Second, Deadline: time.Second}, MissesObjective},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			candidate := idleCandidate()
			c.change(&candidate)
			g.Expect(trainedModel().Predict(candidate, c.need)).To(Equal(c.fit))
			if c.need.Objective > 0 {
				g.Expect(NewModel().Predict(candidate, c.need)).To(Equal(MeetsObjective), "nothing is known of the work")
			}
		})
	}
}

// Guards against requests that wait although no target could answer them in time.
func TestMaxWaitEndsWhenTheObjectiveWouldBeMissed(t *testing.T) {
	g := NewWithT(t)
	m := trainedModel()
	g.Expect(m.MaxWait(TimeBudget{Objective: 400 * time.Millisecond})).To(BeNumerically("~", 160*time.Millisecond, 2*time.Millisecond))
	g.Expect(m.MaxWait(TimeBudget{Objective: 200 * time.Millisecond})).To(BeNumerically("<", 0))
}

// Guards against slots held by work at targets that are slow for a moment, while a
// service that is slow as a whole still serves.
func TestIsSlowComparesWithOtherTargets(t *testing.T) {
	g := NewWithT(t)
	slow := idleCandidate()
	slow.Slowdown = 5
	mixed, all := NewModel(), NewModel()
	for i := range 100 {
		told := idleCandidate()
		if i%4 == 0 {
			told = slow
		}
		mixed.ObserveLoad(told)
		all.ObserveLoad(slow)
	}
	g.Expect(mixed.IsSlow(slow)).To(BeTrue())
	g.Expect(mixed.IsSlow(idleCandidate())).To(BeFalse())
	g.Expect(all.IsSlow(slow)).To(BeFalse())
}

// Guards against a caller that comes back being taken for a fresh one, and against
// callers that differ in patience being taken for returning ones.
func TestAgeIsUsualTimeoutMinusRemaining(t *testing.T) {
	g := NewWithT(t)
	timeouts := &CallerTimeouts{}
	g.Expect(timeouts.EstimateAge(0)).To(BeZero())
	for i := range 40 {
		g.Expect(timeouts.EstimateAge(time.Duration(3000-i%20*20) * time.Millisecond)).To(BeZero())
	}
	g.Expect(timeouts.EstimateAge(1500 * time.Millisecond)).To(BeNumerically("~", 1400*time.Millisecond, 150*time.Millisecond))
}
