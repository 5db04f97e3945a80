package judge

import "math"

// Margin is how many times the old version's event rate the new version may
// have, within single periods, without being blamed. Below 2, one target with a
// noisy neighbour among a handful of targets looks like a bad version.
const Margin = 2.0

// SustainedMargin is the same over blocks of periods, which average the noise of
// neighbours out.
const SustainedMargin = 1.5

// testConfig describes one of the tests of a route.
type testConfig struct {
	// margin is the ratio of event rates up to which the new version is not blamed.
	margin float64
	// ratios are the ratios of event rates that the test mixes.
	ratios []float64
	// capExponent limits the evidence of one observation, so that an alarm needs
	// several: one contributes at most alpha to the power of -capExponent.
	capExponent float64
}

// A crashed target fails its requests within one or two periods. A noisy
// neighbour slows a target for several, so the slowness test needs more of them.
var (
	failureTest          = testConfig{margin: Margin, ratios: []float64{4, 8, 16, 40, 100}, capExponent: 1.0 / 2}
	latencyTest          = testConfig{margin: Margin, ratios: []float64{4, 8, 16, 40}, capExponent: 1.0 / 4}
	sustainedLatencyTest = testConfig{margin: SustainedMargin, ratios: []float64{2, 3, 5}, capExponent: 1.0 / 2}
)

// maxSum keeps a test that goes on after its alarm from overflowing.
const maxSum = 1e200

// eventCounts is the requests and events of both versions in one period.
type eventCounts struct {
	oldRequests, oldEvents int
	newRequests, newEvents int
}

func (e *eventCounts) add(other eventCounts) {
	e.oldRequests += other.oldRequests
	e.oldEvents += other.oldEvents
	e.newRequests += other.newRequests
	e.newEvents += other.newEvents
}

// pValue is the probability of as many events of the new version, or more, of all events
// seen, where its event rate is margin times the old one's.
func (e eventCounts) pValue(margin float64) float64 {
	events := e.oldEvents + e.newEvents
	if e.newEvents == 0 || e.oldRequests == 0 {
		return 1
	}
	probability := newVersionProbability(e, margin)
	sum := 0.0
	for count := e.newEvents; count <= events; count++ {
		sum += binomial(events, count, probability)
	}
	return sum
}

// binomial is the probability of count successes in n trials.
func binomial(n, count int, success float64) float64 {
	logGamma := func(x int) float64 { value, _ := math.Lgamma(float64(x + 1)); return value }
	choices := logGamma(n) - logGamma(count) - logGamma(n-count)
	return math.Exp(choices + float64(count)*math.Log(success) + float64(n-count)*math.Log1p(-success))
}

// sequentialTest is the e-process of one kind of event on one route.
type sequentialTest struct {
	config testConfig
	// sums has, for each ratio, the weighted products over all starting periods.
	sums []float64
	// periods is how many periods with events were taken in.
	periods int
	// periodCap is the largest factor that one period contributes.
	periodCap float64
	// peak is the largest value so far. It decides, since the bound holds for
	// the maximum over all time.
	peak float64
}

// newSequentialTest returns a test that alarms at 1/alpha.
func newSequentialTest(alpha float64, config testConfig) *sequentialTest {
	return &sequentialTest{config: config, sums: make([]float64, len(config.ratios)), periodCap: math.Pow(alpha, -config.capExponent), peak: 1}
}

// observe takes in one period. A period in which only one version had requests,
// or neither had events, carries no evidence.
func (t *sequentialTest) observe(e eventCounts) {
	if e.oldRequests == 0 || e.newRequests == 0 || e.oldEvents+e.newEvents == 0 {
		return
	}
	weight := remainingWeight(t.periods) - remainingWeight(t.periods+1)
	t.periods++
	value := remainingWeight(t.periods)
	for i, ratio := range t.config.ratios {
		t.sums[i] = min((t.sums[i]+weight)*t.likelihoodRatio(e, ratio), maxSum)
		value += t.sums[i] / float64(len(t.config.ratios))
	}
	t.peak = max(t.peak, value)
}

// likelihoodRatio is the likelihood ratio of one period. Lowering it to the cap leaves it
// a valid e-value.
func (t *sequentialTest) likelihoodRatio(e eventCounts, ratio float64) float64 {
	alternative := newVersionProbability(e, ratio)
	null := newVersionProbability(e, t.config.margin)
	log := float64(e.newEvents)*math.Log(alternative/null) + float64(e.oldEvents)*math.Log((1-alternative)/(1-null))
	return min(math.Exp(log), t.periodCap)
}

// newVersionProbability is the probability that an event comes from the new version
// if its event rate is ratio times the old version's.
func newVersionProbability(e eventCounts, ratio float64) float64 {
	scaled := ratio * float64(e.newRequests)
	return scaled / (scaled + float64(e.oldRequests))
}

// remainingWeight is the weight left for starting periods after the first n. It begins
// at 1 and falls so slowly that a start after 2,000 periods still has 1e-5.
func remainingWeight(n int) float64 {
	return 1 / math.Log(float64(n)+math.E)
}
