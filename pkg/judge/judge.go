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
	// failureMargin is the ratio of failure rates that a suspicion allows. Failures, unlike
	// slow answers, hardly depend on a target's neighbours.
	failureMargin = 1.5
	// minStalledSamples is how many answers of the old version give a usable median.
	minStalledSamples = 20
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
	failures         *sequentialTest
	latency          *sequentialTest
	sustainedLatency *sequentialTest
	// block is the slow answers of the present block, periods how many it has.
	block eventCounts
	// totalSlow is every observation of slow answers.
	totalSlow eventCounts
	// totalOld and allNew are all that both versions did.
	totalOld, totalNew outcome.Counts
	blockLength        int
	threshold          threshold
}

// New returns a judge with error rate alpha over all the routes together.
func New(alpha float64, routes []string) *Judge {
	tests := max(1, testsPerRoute*len(routes))
	j := &Judge{alpha: alpha / float64(tests), scale: 1 / float64(tests), routes: map[string]*route{}}
	for _, name := range routes {
		j.routes[name] = &route{
			failures: newSequentialTest(j.alpha, failureTest), latency: newSequentialTest(j.alpha, latencyTest), sustainedLatency: newSequentialTest(j.alpha, sustainedLatencyTest),
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
	r.failures.observe(eventCounts{old.Requests, old.Failures, new.Requests, new.Failures})
	limit, known := r.threshold.slowMicros()
	if known {
		r.observeSlow(eventCounts{old.Timed(), old.CountAbove(limit), new.Timed(), new.CountAbove(limit)})
	}
	r.threshold.add(old)
	r.totalOld.Merge(old)
	r.totalNew.Merge(new)
}

func (r *route) observeSlow(e eventCounts) {
	r.totalSlow.add(e)
	r.latency.observe(e)
	r.block.add(e)
	r.blockLength++
	if r.blockLength == blockPeriods {
		r.sustainedLatency.observe(r.block)
		r.block, r.blockLength = eventCounts{}, 0
	}
}

// Verdict tells whether the new version is bad on any route, and the evidence on
// all routes, the strongest first. Bad stays true once it was true. EValue is
// scaled to be compared with 1/alpha of the whole judge.
func (j *Judge) Verdict() (bad bool, evidence []api.Evidence) {
	for name, r := range j.routes {
		peak := max(r.failures.peak, r.latency.peak, r.sustainedLatency.peak)
		bad = bad || peak >= 1/j.alpha
		evidence = append(evidence, api.Evidence{
			Route: name, EValue: peak * j.scale,
			OldRequests: r.totalOld.Requests, OldFailures: r.totalOld.Failures, OldSlow: r.totalSlow.oldEvents,
			NewRequests: r.totalNew.Requests, NewFailures: r.totalNew.Failures, NewSlow: r.totalSlow.newEvents,
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

// PValues tells what everything observed so far says against the new version.
type PValues struct {
	// Failures and Slow are the probabilities, over all routes, of failures and slow answers
	// as uneven as those seen, or more so, where the new version's rates are at most
	// failingMargin and SustainedMargin times the old one's.
	Failures, Latency float64
}

// NeutralPValues is that of a judge that has observed nothing.
var NeutralPValues = PValues{Failures: 1, Latency: 1}

// PValues is for one look at a moment that the observations do not choose, such as the
// end of a stage. It needs less evidence than Verdict, which may be read at any time.
func (j *Judge) PValues() PValues {
	var failures, slow, stalled []eventCounts
	for _, r := range j.routes {
		if r.totalNew.Requests == 0 {
			continue
		}
		failures = append(failures, eventCounts{r.totalOld.Requests, r.totalOld.Failures, r.totalNew.Requests, r.totalNew.Failures})
		slow, stalled = append(slow, r.totalSlow), append(stalled, r.stalled())
	}
	return PValues{
		Failures: minPValue(failures, failureMargin, 1),
		Latency:  min(minPValue(slow, SustainedMargin, 2), minPValue(stalled, SustainedMargin, 2)),
	}
}

// stalled returns the stalled answers of both versions.
func (r *route) stalled() eventCounts {
	old := r.totalOld.Timed()
	if old < minStalledSamples {
		return eventCounts{}
	}
	limit := int64(stalledFactor * float64(r.totalOld.Histogram.ValueAtQuantile(50)))
	return eventCounts{old, r.totalOld.CountAbove(limit), r.totalNew.Timed(), r.totalNew.CountAbove(limit)}
}

// minPValue is how likely routes show events as uneven as those seen on the most uneven
// one, or on all of them together, in one of several tests.
func minPValue(routes []eventCounts, margin float64, tests int) float64 {
	var all eventCounts
	lowest := 1.0
	for _, e := range routes {
		all.add(e)
		lowest = min(lowest, e.pValue(margin))
	}
	lowest = min(lowest, all.pValue(margin))
	return min(1, lowest*float64(tests*(len(routes)+1)))
}

// Exposure returns how many requests of the new version were observed on the
// route that had the fewest, among routes with at least one in ten of the old
// version's requests. A raise waits for evidence on each route that matters,
// without being held up by a route that is hardly called.
func (j *Judge) Exposure() int {
	return j.minOverRoutes(func(r *route) int { return r.totalNew.Requests })
}

// TimedExposure is Exposure for the requests that were judged by their latency.
// Requests to cold targets are only judged by whether they failed.
func (j *Judge) TimedExposure() int {
	return j.minOverRoutes(func(r *route) int { return r.totalNew.Timed() })
}

func (j *Judge) minOverRoutes(count func(*route) int) int {
	total := 0
	for _, r := range j.routes {
		total += r.totalOld.Requests
	}
	lowest := -1
	for _, r := range j.routes {
		minor := r.totalOld.Requests*10 < total
		if !minor && (lowest < 0 || count(r) < lowest) {
			lowest = count(r)
		}
	}
	return max(0, lowest)
}
