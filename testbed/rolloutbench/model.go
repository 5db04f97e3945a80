package rolloutbench

import (
	"math"
	"math/rand/v2"

	"github.com/fireflychute/fireflychute/pkg/outcome"
)

const (
	periodSeconds = 2.0
	baseFailRatio = 0.001
	// coldRequests and coldFactor are those of the target stand-in.
	coldRequests = 100
	coldFactor   = 4.0
	// noiseStart is the probability per period that a neighbour begins to disturb a target.
	noiseStart = 0.02
	// crashFailRatio is the part of a target's requests that fail in the period of its crash.
	crashFailRatio = 0.5
	// overload that hits both versions.
	overloadPeriods   = 10
	overloadFailRatio = 0.15
	overloadFactor    = 3.0
	// loadedInFlight is the number of requests in flight above which a fault under load shows.
	loadedInFlight = 2
	// latePart is the part of the whole time after which a late fault shows.
	latePart = 0.6
)

// machine is the state of one modelled target.
type machine struct {
	served      int
	noise       float64
	noisePeriod int
}

// fleet is the targets of one version.
type fleet []machine

// model draws the requests of one rollout.
type model struct {
	deployment Deployment
	kind       Type
	random     *rand.Rand
	old, new   fleet
	period     int
	periods    int
	failRatio  float64 // of the bad version
	slowFactor float64 // of the bad version
	overloadAt int
	crashAt    int
	crashNew   bool
	share      float64 // 0 to 1
	// affected is how many requests the fault hit, received how many the new version got.
	affected, received int
}

func newModel(d Deployment, kind Type, seed uint64) *model {
	random := rand.New(rand.NewPCG(seed, uint64(kind.Fault)<<8|uint64(kind.Onset)))
	periods := int(d.Total.Seconds() / periodSeconds)
	m := &model{
		deployment: d, kind: kind, random: random, periods: periods,
		old: make(fleet, d.Targets), new: make(fleet, d.Targets),
		failRatio: 0.05 + 0.45*random.Float64(), slowFactor: 2 + 3*random.Float64(),
		overloadAt: random.IntN(periods), crashAt: random.IntN(periods), crashNew: random.IntN(2) == 0,
	}
	for i := range m.old {
		m.old[i].served = coldRequests
	}
	return m
}

// counts are the judged counts by route.
type counts map[string]*[2]outcome.Counts

// step draws the requests of one period.
func (m *model) step() counts {
	found := counts{}
	for _, r := range m.deployment.Routes {
		found[r.Name] = &[2]outcome.Counts{{Histogram: outcome.NewHistogram()}, {Histogram: outcome.NewHistogram()}}
	}
	m.disturb(m.old)
	m.disturb(m.new)
	load := m.deployment.Rate * (1 + 0.3*math.Sin(float64(m.period)*periodSeconds/100))
	mean := load * periodSeconds
	for range int(mean + math.Sqrt(mean)*m.random.NormFloat64()) {
		m.request(found, load)
	}
	m.period++
	return found
}

// disturb starts and ends the noise of neighbours.
func (m *model) disturb(targets fleet) {
	for i := range targets {
		t := &targets[i]
		t.noisePeriod--
		if t.noisePeriod <= 0 {
			t.noise = 1
		}
		if t.noisePeriod <= 0 && m.random.Float64() < noiseStart {
			t.noise = 2 + 2*m.random.Float64()
			t.noisePeriod = 1 + m.random.IntN(4)
		}
	}
}

func (m *model) request(found counts, load float64) {
	route := m.route()
	version, targets := 0, m.old
	if m.random.Float64() < m.share {
		version, targets = 1, m.new
		m.received++
	}
	index := m.random.IntN(len(targets))
	target := &targets[index]
	failRatio, factor := baseFailRatio, target.noise
	if m.overloaded() {
		failRatio, factor = overloadFailRatio, factor*overloadFactor
	}
	if m.period == m.crashAt && index == 0 && (version == 1) == m.crashNew {
		failRatio = crashFailRatio
	}
	if version == 1 && m.faulty(route, load) {
		m.affected++
		failRatio, factor = m.worsen(failRatio, factor)
	}
	cold := target.served < coldRequests
	target.served++
	if !cold {
		m.record(&found[route][version], failRatio, factor)
	}
}

func (m *model) record(into *outcome.Counts, failRatio, factor float64) {
	into.Requests++
	if m.random.Float64() < failRatio {
		into.Failures++
		return
	}
	micros := float64(m.deployment.ServiceTime.Microseconds()) * factor * (0.5 + 0.5*m.random.ExpFloat64())
	_ = into.Histogram.RecordValue(int64(micros))
}

func (m *model) worsen(failRatio, factor float64) (float64, float64) {
	if m.kind.Fault == Failing {
		return failRatio + m.failRatio, factor
	}
	return failRatio, factor * m.slowFactor
}

func (m *model) overloaded() bool {
	return m.period >= m.overloadAt && m.period < m.overloadAt+overloadPeriods
}

func (m *model) faulty(route string, load float64) bool {
	if m.kind.Fault == None {
		return false
	}
	switch m.kind.Onset {
	case Late:
		return float64(m.period) >= latePart*float64(m.periods)
	case UnderLoad:
		mean := load * m.share / float64(len(m.new)) * m.deployment.ServiceTime.Seconds()
		return poisson(m.random, mean) > loadedInFlight
	case OneRoute:
		return route == m.deployment.Routes[len(m.deployment.Routes)-1].Name
	default:
		return true
	}
}

func (m *model) route() string {
	drawn := m.random.Float64()
	for _, r := range m.deployment.Routes {
		drawn -= r.Part
		if drawn < 0 {
			return r.Name
		}
	}
	return m.deployment.Routes[0].Name
}

// poisson suits small means.
func poisson(random *rand.Rand, mean float64) int {
	limit, product, n := math.Exp(-mean), random.Float64(), 0
	for product > limit {
		product *= random.Float64()
		n++
	}
	return n
}
