package judge

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/internal/faultmatrix"
	"github.com/fireflychute/fireflychute/pkg/outcome"
)

// behaviour describes the responses of one version in a period.
type behaviour struct {
	requests   int
	failRatio  float64
	slowFactor float64
}

func (b behaviour) counts(random *rand.Rand) outcome.Counts {
	counts := outcome.Counts{Requests: b.requests, Histogram: outcome.NewHistogram()}
	for range b.requests {
		if random.Float64() < b.failRatio {
			counts.Failures++
			continue
		}
		_ = counts.Histogram.RecordValue(int64(5000 * max(1, b.slowFactor) * (0.5 + 0.5*random.ExpFloat64())))
	}
	return counts
}

// alarmAt returns the period in which the judge finds the new version bad, or -1.
func alarmAt(seed uint64, periods int, at func(period int) (old, new behaviour)) int {
	random := rand.New(rand.NewPCG(seed, 0))
	j := New(Alpha, []string{"a", "b"})
	for period := range periods {
		old, new := at(period)
		j.Observe("a", old.counts(random), new.counts(random))
		if bad, _ := j.Verdict(); bad {
			return period
		}
	}
	return -1
}

// Guards against a bad version that is not detected, or only long after it became bad, for each
// kind of fault.
func TestBadVersionsAreSeen(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.TargetFailing, faultmatrix.TransitionJudge)
	faultmatrix.Proves(t, faultmatrix.TargetSlow, faultmatrix.TransitionJudge)
	cases := []struct {
		name   string
		from   int
		within int
		bad    behaviour
	}{
		{"failing at once", 0, 8, behaviour{requests: 20, failRatio: 0.3}},
		{"slow at once", 0, 12, behaviour{requests: 20, slowFactor: 3}},
		{"somewhat slow for long", 0, 400, behaviour{requests: 200, slowFactor: 1.2}},
		{"failing after an hour of good behaviour", 1800, 10, behaviour{requests: 20, failRatio: 0.3}},
		{"slow after an hour of good behaviour", 1800, 15, behaviour{requests: 20, slowFactor: 3}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			at := alarmAt(1, c.from+c.within, func(period int) (behaviour, behaviour) {
				old := behaviour{requests: 400, failRatio: 0.002}
				if period < c.from {
					return old, behaviour{requests: 20, failRatio: 0.002}
				}
				return old, c.bad
			})
			g.Expect(at).To(BeNumerically(">=", c.from))
		})
	}
}

// Guards against finding a good version bad more often than the stated error rate of 0.001 per
// rollout, with the verdict read after each period. An overload in the middle of the run makes
// both versions fail and slow down.
func TestGoodVersionsAreNotBlamed(t *testing.T) {
	g := NewWithT(t)
	alarms := 0
	for seed := range uint64(150) {
		at := alarmAt(seed, 100, func(period int) (behaviour, behaviour) {
			b := behaviour{requests: 60, failRatio: 0.005}
			if period >= 40 && period < 60 {
				b = behaviour{requests: 60, failRatio: 0.3, slowFactor: 5}
			}
			old := b
			old.requests = 60 + period%3*60
			return old, b
		})
		if at >= 0 {
			alarms++
		}
	}
	t.Logf("%d false alarms in 150 rollouts", alarms)
	g.Expect(alarms).To(BeNumerically("<=", 1))
}

// Guards against an error rate above the stated one for the worst good version, whose event
// rate is Margin times the old one's. The test is read after each of 400 periods.
func TestErrorRateAtTheMargin(t *testing.T) {
	g := NewWithT(t)
	const alpha, runs = 0.05, 1000
	random := rand.New(rand.NewPCG(5, 0))
	alarms := 0
	for range runs {
		e := newSequentialTest(alpha, testConfig{margin: Margin, ratios: failureTest.ratios, capExponent: 1})
		for range 400 {
			e.observe(eventCounts{200, sampleBinomial(random, 200, 0.02), 100, sampleBinomial(random, 100, 0.02*Margin)})
		}
		if e.peak >= 1/alpha {
			alarms++
		}
	}
	t.Logf("error rate %.4f, stated %.4f", float64(alarms)/runs, alpha)
	g.Expect(alarms).To(BeNumerically("<=", alpha*runs))
}

func sampleBinomial(random *rand.Rand, n int, probability float64) int {
	events := 0
	for range n {
		if random.Float64() < probability {
			events++
		}
	}
	return events
}

// Guards against a single burst of failures, as caused by a crashed target, being taken for a
// bad version.
func TestSingleBurstDoesNotAlarm(t *testing.T) {
	g := NewWithT(t)
	at := alarmAt(3, 200, func(period int) (behaviour, behaviour) {
		old := behaviour{requests: 400, failRatio: 0.002}
		if period == 50 {
			return old, behaviour{requests: 20, failRatio: 0.6}
		}
		return old, behaviour{requests: 20, failRatio: 0.002}
	})
	g.Expect(at).To(Equal(-1))
}

// Guards against a verdict that is withdrawn, and against evidence that does not name the route.
func TestVerdictStaysAndNamesTheRoute(t *testing.T) {
	g := NewWithT(t)
	j := New(Alpha, []string{"a", "b"})
	for range 10 {
		j.Observe("b", outcome.Counts{Requests: 100}, outcome.Counts{Requests: 100, Failures: 50})
	}
	for range 5000 {
		j.Observe("b", outcome.Counts{Requests: 100, Failures: 5}, outcome.Counts{Requests: 100})
	}
	bad, evidence := j.Verdict()
	g.Expect(bad).To(BeTrue())
	g.Expect(evidence[0].Route).To(Equal("b"))
	g.Expect(evidence[0].EValue).To(BeNumerically(">=", 1/Alpha))
	g.Expect(evidence[1].EValue).To(BeNumerically("<", 1))
}

// Guards against raising the share on the evidence of one busy route while another route has
// had no requests to the new version.
func TestExposureIsThatOfTheLeastServedRoute(t *testing.T) {
	g := NewWithT(t)
	j := New(Alpha, []string{"a", "b", "rare"})
	g.Expect(j.Exposure()).To(BeZero())
	j.Observe("a", outcome.Counts{Requests: 1000}, outcome.Counts{Requests: 100})
	j.Observe("b", outcome.Counts{Requests: 500}, outcome.Counts{Requests: 7})
	j.Observe("rare", outcome.Counts{Requests: 5}, outcome.Counts{})
	g.Expect(j.Exposure()).To(Equal(7))
}

// newObservedJudge returns a judge that has observed both versions over the given periods.
func newObservedJudge(seed uint64, periods int, old, new behaviour) *Judge {
	random := rand.New(rand.NewPCG(seed, 0))
	j := New(Alpha, []string{"a", "b"})
	for range periods {
		j.Observe("a", old.counts(random), new.counts(random))
	}
	return j
}

// Guards against a bad version that goes undetected because there are too few requests for the
// sequential test, and against good versions with low p-values more often than stated.
func TestPValuesDetectBadVersionsWithFewRequests(t *testing.T) {
	const probability, seeds = 0.02, 1000
	g := NewWithT(t)
	old := behaviour{requests: 80}
	count := func(new behaviour) (rejected int) {
		for seed := range uint64(seeds) {
			p := newObservedJudge(seed, 8, old, new).PValues()
			if min(p.Failures, p.Latency) <= probability {
				rejected++
			}
		}
		return rejected
	}
	g.Expect(count(behaviour{requests: 4, slowFactor: 4})).To(BeNumerically(">=", seeds*9/10))
	g.Expect(count(behaviour{requests: 4, failRatio: 0.3})).To(BeNumerically(">=", seeds*9/10))
	g.Expect(count(behaviour{requests: 4})).To(BeNumerically("<=", seeds*probability))
	g.Expect(New(Alpha, []string{"a"}).PValues()).To(Equal(PValues{1, 1}), "no observations")
}

// Guards against not detecting a slow version of a service with so few requests that the
// percentile above which responses are slow is not known in time.
func TestLatencyPValueAtLowRate(t *testing.T) {
	const seeds = 300
	g := NewWithT(t)
	rejections := func(new behaviour) (count int) {
		for seed := range uint64(seeds) {
			if newObservedJudge(seed, 8, behaviour{requests: 8}, new).PValues().Latency <= 0.02 {
				count++
			}
		}
		return count
	}
	g.Expect(rejections(behaviour{requests: 3, slowFactor: 8})).To(BeNumerically(">=", seeds*9/10))
	g.Expect(rejections(behaviour{requests: 3})).To(BeNumerically("<=", seeds*0.02))
}
