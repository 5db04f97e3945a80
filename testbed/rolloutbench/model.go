package rolloutbench

import (
	"math"
	"math/rand/v2"

	"github.com/fireflychute/fireflychute/pkg/outcome"
)

const (
	periodSeconds = 2.0
	baseFailRatio = 0.001
	// coldRequests and coldFactor have the values of the target stand-in.
	coldRequests = 100
	coldFactor   = 4.0
	// noiseProbability is the probability per period that a noisy neighbour starts to slow a
	// target.
	noiseProbability = 0.02
	// crashFailRatio is the share of a target's requests that fail in the period of its crash.
	crashFailRatio = 0.5
	// Duration, failure ratio and latency factor of the overload that affects both versions.
	overloadPeriods   = 10
	overloadFailRatio = 0.15
	overloadFactor    = 3.0
	// underLoadInFlight is the number of requests in flight above which an UnderLoad fault occurs.
	underLoadInFlight = 2
	// lateOnsetShare is the share of the rollout's time after which a Late fault occurs.
	lateOnsetShare = 0.6
)

// targetState is the state of one simulated target.
type targetState struct {
	served           int
	noiseFactor      float64
	noisePeriodsLeft int
}

// versionTargets are the targets of one version.
type versionTargets []targetState

// model samples the requests of one rollout.
type model struct {
	deployment  Deployment
	rolloutType RolloutType
	random      *rand.Rand
	old, new    versionTargets
	period      int     // current period, from 0
	periods     int     // until completeBy
	failRatio   float64 // of the bad version
	slowFactor  float64 // of the bad version
	overloadAt  int     // first period of the overload
	crashAt     int     // period of the crash
	crashInNew  bool    // whether a target of the new version crashes, instead of an old one
	share       float64 // 0 to 1
	// faultyRequests counts the requests affected by the fault, newRequests those sent to the new
	// version.
	faultyRequests, newRequests int
}

func newModel(d Deployment, kind RolloutType, seed uint64) *model {
	random := rand.New(rand.NewPCG(seed, uint64(kind.Fault)<<8|uint64(kind.Onset)))
	periods := int(d.Total.Seconds() / periodSeconds)
	m := &model{
		deployment: d, rolloutType: kind, random: random, periods: periods,
		old: make(versionTargets, d.Targets), new: make(versionTargets, d.Targets),
		failRatio: 0.05 + 0.45*random.Float64(), slowFactor: 2 + 3*random.Float64(),
		overloadAt: random.IntN(periods), crashAt: random.IntN(periods), crashInNew: random.IntN(2) == 0,
	}
	for i := range m.old {
		m.old[i].served = coldRequests
	}
	return m
}

// routeCounts are the counts for the canary analysis by route, of the old and the new version.
type routeCounts map[string]*[2]outcome.Counts

// simulatePeriod samples the requests of one period. Requests to cold targets are not counted.
func (m *model) simulatePeriod() routeCounts {
	counts := routeCounts{}
	for _, r := range m.deployment.Routes {
		counts[r.Name] = &[2]outcome.Counts{{Histogram: outcome.NewHistogram()}, {Histogram: outcome.NewHistogram()}}
	}
	m.updateNoise(m.old)
	m.updateNoise(m.new)
	load := m.deployment.Rate * (1 + 0.3*math.Sin(float64(m.period)*periodSeconds/100))
	mean := load * periodSeconds
	for range int(mean + math.Sqrt(mean)*m.random.NormFloat64()) {
		m.simulateRequest(counts, load)
	}
	m.period++
	return counts
}

// updateNoise starts and ends the slowdown of targets by noisy neighbours.
func (m *model) updateNoise(targets versionTargets) {
	for i := range targets {
		t := &targets[i]
		t.noisePeriodsLeft--
		if t.noisePeriodsLeft <= 0 {
			t.noiseFactor = 1
		}
		if t.noisePeriodsLeft <= 0 && m.random.Float64() < noiseProbability {
			t.noiseFactor = 2 + 2*m.random.Float64()
			t.noisePeriodsLeft = 1 + m.random.IntN(4)
		}
	}
}

func (m *model) simulateRequest(counts routeCounts, load float64) {
	route := m.sampleRoute()
	version, targets := 0, m.old
	if m.random.Float64() < m.share {
		version, targets = 1, m.new
		m.newRequests++
	}
	index := m.random.IntN(len(targets))
	target := &targets[index]
	failRatio, factor := baseFailRatio, target.noiseFactor
	if m.isOverloaded() {
		failRatio, factor = overloadFailRatio, factor*overloadFactor
	}
	if m.period == m.crashAt && index == 0 && (version == 1) == m.crashInNew {
		failRatio = crashFailRatio
	}
	if version == 1 && m.hasFault(route, load) {
		m.faultyRequests++
		failRatio, factor = m.applyFault(failRatio, factor)
	}
	cold := target.served < coldRequests
	target.served++
	if !cold {
		m.recordOutcome(&counts[route][version], failRatio, factor)
	}
}

func (m *model) recordOutcome(into *outcome.Counts, failRatio, factor float64) {
	into.Requests++
	if m.random.Float64() < failRatio {
		into.Failures++
		return
	}
	micros := float64(m.deployment.ServiceTime.Microseconds()) * factor * (0.5 + 0.5*m.random.ExpFloat64())
	_ = into.Histogram.RecordValue(int64(micros))
}

func (m *model) applyFault(failRatio, factor float64) (float64, float64) {
	if m.rolloutType.Fault == Failing {
		return failRatio + m.failRatio, factor
	}
	return failRatio, factor * m.slowFactor
}

func (m *model) isOverloaded() bool {
	return m.period >= m.overloadAt && m.period < m.overloadAt+overloadPeriods
}

func (m *model) hasFault(route string, load float64) bool {
	if m.rolloutType.Fault == None {
		return false
	}
	switch m.rolloutType.Onset {
	case Late:
		return float64(m.period) >= lateOnsetShare*float64(m.periods)
	case UnderLoad:
		mean := load * m.share / float64(len(m.new)) * m.deployment.ServiceTime.Seconds()
		return samplePoisson(m.random, mean) > underLoadInFlight
	case OneRoute:
		return route == m.deployment.Routes[len(m.deployment.Routes)-1].Name
	default:
		return true
	}
}

func (m *model) sampleRoute() string {
	sample := m.random.Float64()
	for _, r := range m.deployment.Routes {
		sample -= r.Share
		if sample < 0 {
			return r.Name
		}
	}
	return m.deployment.Routes[0].Name
}

// samplePoisson returns a Poisson sample by Knuth's method, which is efficient for small means
// only.
func samplePoisson(random *rand.Rand, mean float64) int {
	limit, product, n := math.Exp(-mean), random.Float64(), 0
	for product > limit {
		product *= random.Float64()
		n++
	}
	return n
}
