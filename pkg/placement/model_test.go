package placement

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const modelServiceTime = 200 * time.Millisecond

// trainedModel returns a model with samples from idle targets.
func trainedModel() *Model {
	m := NewModel()
	for range 50 {
		m.ObserveLatency(idleCandidate(), modelServiceTime)
	}
	return m
}

// Guards against factors that fit one deployment only: those of nearly full and cold targets are
// estimated from the latencies of requests.
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

// Guards against requests at a slowed-down target or behind a queue that raise the estimate of
// the route's service time.
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

// Guards against a few requests at targets that became slow after they had reported their load:
// a node with little traffic would otherwise predict that no target meets the objective.
func TestServiceTimeIsRobustToOutliers(t *testing.T) {
	g := NewWithT(t)
	m := NewModel()
	for i := range 30 {
		latency := modelServiceTime
		if i%4 == 0 {
			latency = 5 * modelServiceTime
		}
		m.ObserveLatency(idleCandidate(), latency)
		if i > 0 {
			g.Expect(m.ServiceTime()).To(Equal(modelServiceTime))
		}
	}
}

// Guards against requests sent to a target where they miss their objective or where their caller
// times out first.
func TestPredictionFollowsObjectiveAndDeadline(t *testing.T) {
	for name, c := range map[string]struct {
		change func(c *Candidate)
		budget TimeBudget
		want   Prediction
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
			g.Expect(trainedModel().Predict(candidate, c.budget)).To(Equal(c.want))
			if c.budget.Objective > 0 {
				g.Expect(NewModel().Predict(candidate, c.budget)).To(Equal(MeetsObjective), "the service time is unknown")
			}
		})
	}
}

// Guards against requests that wait although no target could still meet their objective.
func TestMaxWaitEndsWhenTheObjectiveWouldBeMissed(t *testing.T) {
	g := NewWithT(t)
	m := trainedModel()
	g.Expect(m.MaxWait(TimeBudget{Objective: 400 * time.Millisecond})).To(BeNumerically("~", 160*time.Millisecond, 2*time.Millisecond))
	g.Expect(m.MaxWait(TimeBudget{Objective: 200 * time.Millisecond})).To(BeNumerically("<", 0))
}

// Guards against slots held by requests at targets that are slow for a moment. A service whose
// targets are all slow must still be served.
func TestIsSlowComparesWithOtherTargets(t *testing.T) {
	g := NewWithT(t)
	slow := idleCandidate()
	slow.Slowdown = 5
	mixed, all := NewModel(), NewModel()
	for i := range 100 {
		reported := idleCandidate()
		if i%4 == 0 {
			reported = slow
		}
		mixed.ObserveLoad(reported)
		all.ObserveLoad(slow)
	}
	g.Expect(mixed.IsSlow(slow)).To(BeTrue())
	g.Expect(mixed.IsSlow(idleCandidate())).To(BeFalse())
	g.Expect(all.IsSlow(slow)).To(BeFalse())
}

// Guards against a retry being taken for a first attempt, and against callers with slightly
// different timeouts being taken for retries.
func TestAgeIsUsualTimeoutMinusRemaining(t *testing.T) {
	g := NewWithT(t)
	timeouts := &CallerTimeouts{}
	g.Expect(timeouts.EstimateAge(0)).To(BeZero())
	for i := range 40 {
		g.Expect(timeouts.EstimateAge(time.Duration(3000-i%20*20) * time.Millisecond)).To(BeZero())
	}
	g.Expect(timeouts.EstimateAge(1500 * time.Millisecond)).To(BeNumerically("~", 1400*time.Millisecond, 150*time.Millisecond))
}
