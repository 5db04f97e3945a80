package judge

import (
	"math"
	"sort"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/outcome"
)

// Alpha is the largest probability with which Verdict finds a good version bad, over the whole
// rollout.
const Alpha = 0.001

// testsPerRoute counts the failure test and both latency tests.
const testsPerRoute = 3

const (
	// stalledFactor is the ratio to the old version's median latency above which a response is
	// stalled. The old version has nearly none of these, so a few are strong evidence.
	stalledFactor = 2.5
	// failureMargin is the ratio of failure rates that PValues allows. It is below Margin because
	// failures, unlike slow responses, hardly depend on a target's neighbours.
	failureMargin = 1.5
	// minStalledSamples is how many responses of the old version give a usable median.
	minStalledSamples = 20
)

// blockPeriods is how many periods make up one block of the sustained latency test.
const blockPeriods = 10

// Judge compares two versions of one service on its routes.
type Judge struct {
	// alpha is the error rate of a single test.
	alpha float64
	// scale converts a test's e-value to one that is compared with 1/alpha of the whole judge.
	scale  float64
	routes map[string]*route
}

type route struct {
	failures         *sequentialTest
	latency          *sequentialTest
	sustainedLatency *sequentialTest
	// block sums the slow responses of the current block, of which blockLength periods are done.
	block eventCounts
	// totalSlow sums the slow responses of all periods.
	totalSlow eventCounts
	// totalOld and totalNew sum the counts of both versions.
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

// Observe records the counts of both versions on a route in the same period, with one call
// per period and route. Periods should be one to two seconds long: shorter ones contain too
// few events, longer ones delay the verdict. A route that was not passed to New is ignored,
// since it has no part of the error rate.
func (j *Judge) Observe(name string, old, new outcome.Counts) {
	r, ok := j.routes[name]
	if !ok {
		return
	}
	r.observe(old, new)
}

func (r *route) observe(old, new outcome.Counts) {
	r.failures.observe(eventCounts{old.Requests, old.Failures, new.Requests, new.Failures})
	limit, ok := r.threshold.slowMicros()
	if ok {
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

// Verdict reports whether the new version is bad on any route, and returns the evidence on all
// routes, the strongest first. Once bad is true, it stays true. EValue is scaled to be compared
// with 1/alpha of the whole judge.
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

// PValues holds the evidence of all observations so far against the new version. Small values
// are strong evidence.
type PValues struct {
	// Failures and Latency are the probabilities, over all routes, that at least as many of the
	// failures and slow responses come from the new version as observed, if its rates are at most
	// failureMargin and SustainedMargin times the old one's.
	Failures, Latency float64
}

// NeutralPValues are the p-values of a judge without observations.
var NeutralPValues = PValues{Failures: 1, Latency: 1}

// PValues returns the p-values of all observations so far. They are valid for a single read at
// a time that does not depend on the observations, such as the end of a stage. PValues needs
// less evidence than Verdict, which may be read at any time.
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

// stalled returns the stalled responses of both versions.
func (r *route) stalled() eventCounts {
	old := r.totalOld.Timed()
	if old < minStalledSamples {
		return eventCounts{}
	}
	limit := int64(stalledFactor * float64(r.totalOld.Histogram.ValueAtQuantile(50)))
	return eventCounts{old, r.totalOld.CountAbove(limit), r.totalNew.Timed(), r.totalNew.CountAbove(limit)}
}

// minPValue returns the smallest p-value of the routes and of their sum, corrected for the
// number of tests that are read together. Half of the error rate belongs to the sum; the routes divide the
// other half by the square root of the new version's requests, since a route with few of them can
// hardly show anything.
func minPValue(routes []eventCounts, margin float64, tests int) float64 {
	var all eventCounts
	weights := 0.0
	for _, e := range routes {
		all.add(e)
		weights += math.Sqrt(float64(e.newRequests))
	}
	lowest := 2 * all.pValue(margin)
	for _, e := range routes {
		if e.newRequests > 0 {
			lowest = min(lowest, 2*e.pValue(margin)*weights/math.Sqrt(float64(e.newRequests)))
		}
	}
	return min(1, lowest*float64(tests))
}

// Exposure returns how many requests of the new version were observed on the route that had
// the fewest, among routes with at least one in ten of the old version's requests. A raise of
// the share thus needs evidence on each route with significant traffic, and is not delayed by
// a route that is rarely called.
func (j *Judge) Exposure() int {
	return j.minOverRoutes(func(r *route) int { return r.totalNew.Requests })
}

// TimedExposure is like Exposure, but counts only the requests that were judged by their
// latency. Requests to cold targets are judged only by whether they failed.
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
