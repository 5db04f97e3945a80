package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
)

const (
	dataCentres = 3
	localDelay  = 200 * time.Microsecond // one-way delay within a data centre
	serviceTime = 10 * time.Millisecond  // mean at a warm target without noise
	timeout     = 500 * time.Millisecond
	noisyCaller = "noisy"
	drainTime   = 2 * time.Second // for responses to the last arrivals
)

// Scenario describes a user's fleet.
type Scenario struct {
	Name    string
	Nodes   int
	Targets int
	// CrossDelay is the one-way delay between data centres.
	CrossDelay time.Duration
	Spec       api.ServiceSpec
	// Calm omits the bursts and the faults, so that only the noise of the targets and random
	// variation remain.
	Calm bool
}

// Scenarios returns the fleets for which policies are compared.
func Scenarios() []Scenario {
	spec := api.ServiceSpec{Slots: 6, Queue: 6, MeasuringBudget: 2, ReferenceLatencyMs: 20}
	return []Scenario{
		{Name: "Vestfjord label text", Nodes: 19, Targets: 20, CrossDelay: 1500 * time.Microsecond, Spec: spec},
		{Name: "Marsa plaque registry", Nodes: 13, Targets: 13, CrossDelay: time.Millisecond, Spec: spec},
	}
}

// arrival is the arrival of a request at its intended time.
type arrival struct {
	at     time.Duration
	node   int
	caller string
	demand time.Duration // service time at a warm target without noise
}

// arrivals samples an open-loop stream. Two callers are steady; the noisy one sends a quarter of
// the load in bursts of 200 ms every second.
func arrivals(s Scenario, load float64, length time.Duration, seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	capacity := float64(s.Targets*s.Spec.Slots) / (serviceTime.Seconds() * meanNoise)
	rate := load * capacity
	peak := rate * 2
	stream := []arrival{}
	for at := 0.0; ; {
		at += random.ExpFloat64() / peak
		if at >= length.Seconds() {
			return stream
		}
		a := arrival{at: time.Duration(at * 1e9), node: random.IntN(s.Nodes), demand: sampleDemand(random)}
		sample := random.Float64() * 2
		burst := at-float64(int(at)) < 0.2
		switch {
		case sample < 0.75 || s.Calm && sample < 1:
			a.caller = fmt.Sprintf("steady-%d", random.IntN(2))
		case burst && !s.Calm: // 5/4 of the mean rate for a fifth of the time
			a.caller = noisyCaller
		default:
			continue
		}
		stream = append(stream, a)
	}
}

func sampleDemand(random *rand.Rand) time.Duration {
	return time.Duration(float64(serviceTime) * (0.5 + 0.5*random.ExpFloat64()))
}

// scheduleFaults schedules the faults, at the same times in each run.
func (r *run) scheduleFaults() {
	if r.scenario.Calm {
		return
	}
	restart := func(i int) func() { return func() { r.targets[i].restart() } }
	r.clock.schedule(2*time.Second, restart(0))
	r.clock.schedule(4*time.Second, func() { r.targets[1].failing = true })
	r.clock.schedule(5*time.Second, func() { r.targets[1].failing = false })
	r.clock.schedule(6*time.Second, func() { r.targets[2].slowFactor = 6 })
	r.clock.schedule(7*time.Second, func() { r.targets[2].slowFactor = 1 })
	r.clock.schedule(8*time.Second, restart(3))
	r.clock.schedule(8*time.Second, restart(4))
}
