package judge

import (
	"sort"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/outcome"
)

// Alpha is the probability with which a rollout of a good version may be taken
// back, over the whole rollout.
const Alpha = 0.001

// testsPerRoute is the failure test and both slowness tests.
const testsPerRoute = 3

const (
	// stalledFactor is how many times the old version's median a stalled answer takes. The
	// old version has nearly none, so that few of them tell much.
	stalledFactor = 2.5
	// failingMargin is the ratio of failure rates that a suspicion allows. Failures, unlike
	// slow answers, hardly depend on a target's neighbours.
	failingMargin = 1.5
	// minStalledReference is how many answers of the old version give a usable median.
	minStalledReference = 20
)

// blockPeriods is how many periods the test on sustained slowness takes together.
const blockPeriods = 10

// Judge compares two versions of one service on its routes.
type Judge struct {
	// alpha is the error rate of a single test.
	alpha float64
	// scale brings a test's value to the scale on which 1/alpha of the whole judge alarms.
	scale  float64
	routes map[string]*route
}

type route struct {
	failures  *test
	slow      *test
	sustained *test
	// block is the slow answers of the present block, periods how many it has.
	block exposure
	// allSlow is every observation of slow answers.
	allSlow exposure
	// allOld and allNew are all that both versions did.
	allOld, allNew outcome.Counts
	periods        int
	threshold      threshold
}

// New returns a judge with error rate alpha over all the routes together.
func New(alpha float64, routes []string) *Judge {
	tests := max(1, testsPerRoute*len(routes))
	j := &Judge{alpha: alpha / float64(tests), scale: 1 / float64(tests), routes: map[string]*route{}}
	for _, name := range routes {
		j.routes[name] = &route{
			failures: newTest(j.alpha, failing), slow: newTest(j.alpha, slow), sustained: newTest(j.alpha, sustainedSlow),
		}
	}
	return j
}

// Observe takes in what both versions did on a route in the same period, one
// call per period and route. Periods of one to two seconds suit: shorter ones
// hold too few events, longer ones delay the verdict. A route that New was not
// given is ignored, since the error rate was not divided for it.
func (j *Judge) Observe(name string, old, new outcome.Counts) {
	r, ok := j.routes[name]
	if !ok {
		return
	}
	r.observe(old, new)
}

func (r *route) observe(old, new outcome.Counts) {
	r.failures.observe(exposure{old.Requests, old.Failures, new.Requests, new.Failures})
	limit, known := r.threshold.slowMicros()
	if known {
		r.observeSlow(exposure{old.Timed(), old.Above(limit), new.Timed(), new.Above(limit)})
	}
	r.threshold.add(old)
	r.allOld.Merge(old)
	r.allNew.Merge(new)
}

func (r *route) observeSlow(e exposure) {
	r.allSlow.add(e)
	r.slow.observe(e)
	r.block.add(e)
	r.periods++
	if r.periods == blockPeriods {
		r.sustained.observe(r.block)
		r.block, r.periods = exposure{}, 0
	}
}

// Verdict tells whether the new version is bad on any route, and the evidence on
// all routes, the strongest first. Bad stays true once it was true. EValue is
// scaled to be compared with 1/alpha of the whole judge.
func (j *Judge) Verdict() (bad bool, evidence []api.Evidence) {
	for name, r := range j.routes {
		peak := max(r.failures.peak, r.slow.peak, r.sustained.peak)
		bad = bad || peak >= 1/j.alpha
		evidence = append(evidence, api.Evidence{
			Route: name, EValue: peak * j.scale,
			OldRequests: r.allOld.Requests, OldFailures: r.allOld.Failures, OldSlow: r.allSlow.oldEvents,
			NewRequests: r.allNew.Requests, NewFailures: r.allNew.Failures, NewSlow: r.allSlow.newEvents,
		})
	}
	sort.Slice(evidence, func(a, b int) bool {
		if evidence[a].EValue != evidence[b].EValue {
			return evidence[a].EValue > evidence[b].EValue
		}
		return evidence[a].Route < evidence[b].Route
	})
	return bad, evidence
}

// Suspicion tells what everything observed so far says against the new version.
type Suspicion struct {
	// Failing and Slow are the probabilities, over all routes, of failures and slow answers
	// as uneven as those seen, or more so, where the new version's rates are at most
	// failingMargin and SustainedMargin times the old one's.
	Failing, Slow float64
}

// NoSuspicion is that of a judge that has observed nothing.
var NoSuspicion = Suspicion{Failing: 1, Slow: 1}

// Suspicion is for one look at a moment that the observations do not choose, such as the
// end of a stage. It needs less evidence than Verdict, which may be read at any time.
func (j *Judge) Suspicion() Suspicion {
	var failures, slow, stalled []exposure
	for _, r := range j.routes {
		if r.allNew.Requests == 0 {
			continue
		}
		failures = append(failures, exposure{r.allOld.Requests, r.allOld.Failures, r.allNew.Requests, r.allNew.Failures})
		slow, stalled = append(slow, r.allSlow), append(stalled, r.stalled())
	}
	return Suspicion{
		Failing: leastChance(failures, failingMargin, 1),
		Slow:    min(leastChance(slow, SustainedMargin, 2), leastChance(stalled, SustainedMargin, 2)),
	}
}

// stalled returns the stalled answers of both versions.
func (r *route) stalled() exposure {
	old := r.allOld.Timed()
	if old < minStalledReference {
		return exposure{}
	}
	limit := int64(stalledFactor * float64(r.allOld.Histogram.ValueAtQuantile(50)))
	return exposure{old, r.allOld.Above(limit), r.allNew.Timed(), r.allNew.Above(limit)}
}

// leastChance is how likely routes show events as uneven as those seen on the most uneven
// one, or on all of them together, in one of several tests.
func leastChance(routes []exposure, margin float64, tests int) float64 {
	var all exposure
	least := 1.0
	for _, e := range routes {
		all.add(e)
		least = min(least, e.chance(margin))
	}
	least = min(least, all.chance(margin))
	return min(1, least*float64(tests*(len(routes)+1)))
}

// Exposure returns how many requests of the new version were observed on the
// route that had the fewest, among routes with at least one in ten of the old
// version's requests. A raise waits for evidence on each route that matters,
// without being held up by a route that is hardly called.
func (j *Judge) Exposure() int {
	return j.least(func(r *route) int { return r.allNew.Requests })
}

// TimedExposure is Exposure for the requests that were judged by their latency.
// Requests to cold targets are only judged by whether they failed.
func (j *Judge) TimedExposure() int {
	return j.least(func(r *route) int { return r.allNew.Timed() })
}

func (j *Judge) least(of func(*route) int) int {
	total := 0
	for _, r := range j.routes {
		total += r.allOld.Requests
	}
	least := -1
	for _, r := range j.routes {
		minor := r.allOld.Requests*10 < total
		if !minor && (least < 0 || of(r) < least) {
			least = of(r)
		}
	}
	return max(0, least)
}
