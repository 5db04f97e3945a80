package canary

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// What the leader's view of a rollout lacks: counts arrive reportLag after the requests, a written share is in
// force stepLag after the decision.
const (
	reportLag = 600 * time.Millisecond
	stepLag   = 200 * time.Millisecond
)

// undetected simulates a rollout of a version against which no evidence ever shows, at a rate that changes over time.
type undetected struct {
	duration time.Duration
	rate     func(elapsed time.Duration) float64
	// drainTime is the old version's tail latency.
	drainTime time.Duration
	// leaderLostAt is when the leader fails for good without a successor, 0 if it does not.
	leaderLostAt time.Duration
}

type exposure struct {
	exposed, requests float64
	completedAt       time.Duration
}

func (u undetected) run() exposure {
	type moment struct{ requests, exposed float64 }
	var history []moment
	var now moment
	out := exposure{completedAt: -1}
	share, next, nextAt, since, until := 0.0, 0.0, time.Duration(0), time.Duration(0), time.Duration(0)
	for elapsed := time.Duration(0); elapsed < 2*u.duration; elapsed += tick {
		if next != share && elapsed >= nextAt {
			share, since = next, elapsed
		}
		if until > 0 && elapsed >= until {
			share, next = 0, 0 // the nodes end the share by themselves
		}
		now.requests += u.rate(elapsed) * tick.Seconds()
		now.exposed += u.rate(elapsed) * tick.Seconds() * share
		history = append(history, now)
		if elapsed < u.duration {
			out.exposed, out.requests = now.exposed, now.requests
		}
		if out.completedAt >= 0 || u.leaderLostAt > 0 && elapsed >= u.leaderLostAt {
			continue
		}
		seen := history[max(0, len(history)-1-int(reportLag/tick))]
		past := history[max(0, len(history)-1-int((reportLag+time.Second)/tick))]
		decision := Decide(Progress{
			Elapsed: elapsed, Duration: u.duration, Share: share, ShareAge: elapsed - since, LeaderTime: time.Hour,
			Requests: int(seen.requests), Exposed: int(seen.exposed), Rate: seen.requests - past.requests, HasTargets: true,
			FailurePValue: 1, LatencyPValue: 1, OldTailLatency: u.drainTime, OldP90Latency: u.drainTime * 2 / 3,
		}, bounds)
		switch {
		case decision.Complete:
			out.completedAt = elapsed
		case decision.Share != next:
			next, nextAt, until = decision.Share, elapsed+stepLag, decision.Until
		}
	}
	return out
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

var (
	testedDurations = []time.Duration{5, 7, 9, 12, 16, 24, 60}
	testedRates     = []float64{2, 9, 27, 60, 133, 467, 2000}
)

// Guards against a bad version that no evidence shows, such as one that fails seldom, on one route or late, and that
// gets more requests than the exposure bound allows because only an early verdict keeps it.
func TestUndetectedBadVersionStaysWithinTheExposure(t *testing.T) {
	for _, seconds := range testedDurations {
		for _, rate := range testedRates {
			t.Run(fmt.Sprintf("%d s, %v per s", seconds, rate), func(t *testing.T) {
				g := NewWithT(t)
				out := undetected{duration: seconds * time.Second, rate: steady(rate), drainTime: 600 * time.Millisecond}.run()
				g.Expect(out.exposed).To(BeNumerically("<=", bounds.Share*out.requests+bounds.Slack))
				g.Expect(out.completedAt).To(BeNumerically(">", 0), "a version that nothing speaks against completes, if need be late")
			})
		}
	}
}

// Guards against an exposure bound that a rate which changes during the rollout, or the loss of the leader at any
// moment, breaks.
func TestExposureHoldsWhenTheRateChangesOrTheLeaderIsLost(t *testing.T) {
	for _, seconds := range testedDurations {
		for _, rate := range testedRates {
			duration := seconds * time.Second
			swing := func(elapsed time.Duration) float64 {
				if elapsed%(6*time.Second) < 3*time.Second {
					return 0.8 * rate
				}
				return 1.2 * rate
			}
			g := NewWithT(t)
			out := undetected{duration: duration, rate: swing, drainTime: 600 * time.Millisecond}.run()
			g.Expect(out.exposed).To(BeNumerically("<=", bounds.Share*out.requests+bounds.Slack), "%v, %v per s, changing", duration, rate)
			for lostAt := time.Second; lostAt < duration; lostAt += duration / 7 {
				out = undetected{duration: duration, rate: steady(rate), drainTime: 600 * time.Millisecond, leaderLostAt: lostAt}.run()
				g.Expect(out.exposed).To(BeNumerically("<=", bounds.Share*out.requests+bounds.Slack), "%v, %v per s, leader lost after %v", duration, rate, lostAt)
			}
		}
	}
}

// Guards against an exposure bound that is kept by promoting late: where the bound leaves the time that a promotion
// needs, a good version completes before the deadline, and old targets are stopped only after their requests have ended.
func TestGoodVersionCompletesInTimeWithinTheExposure(t *testing.T) {
	const drainTime = 600 * time.Millisecond
	for _, seconds := range testedDurations {
		for _, rate := range testedRates {
			duration := seconds * time.Second
			allowed := bounds.Share*rate*duration.Seconds() + bounds.Slack
			const promotionTime = 1500 * time.Millisecond
			const neededReserve, neededCanary = 0.1, 15
			if upperCount(rate*promotionTime.Seconds())+neededCanary > (1-neededReserve)*allowed {
				continue
			}
			g := NewWithT(t)
			out := undetected{duration: duration, rate: steady(rate), drainTime: drainTime}.run()
			g.Expect(out.completedAt).To(And(BeNumerically(">", 0), BeNumerically("<", duration)), "%v, %v per s", duration, rate)
		}
	}
}
