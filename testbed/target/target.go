package target

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	// coldSlowdown multiplies the service time of a cold target.
	coldSlowdown = 4.0
	// coldGain is how many served requests let a cold target bear twice as much.
	coldGain = 8
)

// Target is the state of one stand-in.
type Target struct {
	options Options

	mu          sync.Mutex
	random      *rand.Rand
	incarnation string
	running     int
	waiting     int
	served      int
	coldServed  int // since the last cold start
	cold        bool
	overloads   int // times that a cold target was given more than it bears
	draining    bool
	executions  map[string]int
	probes      int
	connections int
	reports     []datedReport
	free        chan struct{} // one element per free slot
}

// Report is the load that a target tells of itself.
type Report struct {
	InFlight    int    `json:"inflight"`
	Queued      int    `json:"queued"`
	Served      int    `json:"served"`
	Incarnation string `json:"incarnation"`
	Version     string `json:"version"`
	Draining    bool   `json:"draining"`
}

type datedReport struct {
	at     time.Time
	report Report
}

// New returns a target of the given incarnation.
func New(options Options, incarnation string) *Target {
	t := &Target{
		options:     options,
		random:      rand.New(rand.NewPCG(options.Seed, 0)),
		incarnation: incarnation,
		cold:        options.ColdRequests > 0,
		executions:  map[string]int{},
		free:        make(chan struct{}, options.Slots),
	}
	for range options.Slots {
		t.free <- struct{}{}
	}
	return t
}

// Refusal says why a request was not run.
type Refusal string

// Reasons for a refusal.
const (
	Accepted        Refusal = ""
	RefusedFull     Refusal = "full"
	RefusedDraining Refusal = "draining"
)

// begin counts a request in, or refuses it before anything ran.
func (t *Target) begin() Refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return RefusedDraining
	}
	if t.running+t.waiting >= t.options.Slots+t.options.Queue {
		return RefusedFull
	}
	t.waiting++
	return Accepted
}

// plan is what happens to one request once it has a slot.
type plan struct {
	time       time.Duration
	fail       bool
	overloaded bool
}

// start moves a request from waiting to running and logs its execution.
func (t *Target) start(id, path string) plan {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting--
	t.running++
	t.executions[id]++
	t.options.Log.write(id, path, time.Now())
	p := plan{time: t.serviceTime()}
	if t.cold && t.running+t.waiting > t.bears() {
		t.overloads++
		t.coldServed = 0
		p.overloaded = true
		return p
	}
	t.applyBadness(&p, path)
	return p
}

func (t *Target) serviceTime() time.Duration {
	mean := float64(t.options.ServiceTime)
	if t.cold {
		mean *= coldSlowdown
	}
	return time.Duration(mean * (0.5 + 0.5*t.random.ExpFloat64()))
}

// bears is how many requests a cold target can have in flight.
func (t *Target) bears() int {
	level := 1
	for needed := coldGain; needed <= t.coldServed && level < t.options.Slots; needed += level * coldGain {
		level *= 2
	}
	return level
}

func (t *Target) applyBadness(p *plan, path string) {
	bad := t.options.Bad
	if !strings.HasPrefix(path, bad.PathPrefix) || t.served < bad.AfterRequests || t.running+t.waiting <= bad.AboveInFlight {
		return
	}
	p.fail = t.random.Float64() < bad.FailRatio
	if bad.SlowFactor > 1 {
		p.time = time.Duration(float64(p.time) * bad.SlowFactor)
	}
}

// abandon counts out a request that left before it had a slot.
func (t *Target) abandon() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting--
}

// finish counts out a request that ran.
func (t *Target) finish(served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	if !served {
		return
	}
	t.served++
	t.coldServed++
	if t.cold && t.coldServed >= t.options.ColdRequests {
		t.cold = false
	}
}

// Report returns the present load.
func (t *Target) Report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.report()
}

func (t *Target) report() Report {
	return Report{
		InFlight: t.running + t.waiting, Queued: t.waiting, Served: t.served,
		Incarnation: t.incarnation, Version: t.options.Version, Draining: t.draining,
	}
}

// LaggingReport returns the load as it was ReportLag ago.
func (t *Target) LaggingReport(now time.Time) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reports = append(t.reports, datedReport{now, t.report()})
	shown := t.reports[0]
	for len(t.reports) > 1 && now.Sub(t.reports[1].at) >= t.options.ReportLag {
		t.reports = t.reports[1:]
		shown = t.reports[0]
	}
	return shown.report
}

// Chill makes the target cold again without a new incarnation.
func (t *Target) Chill() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cold = t.options.ColdRequests > 0
	t.coldServed = 0
}

// Drain makes the target refuse new work.
func (t *Target) Drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
}

// SetBadness replaces what is wrong with the version.
func (t *Target) SetBadness(bad Badness) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.options.Bad = bad
}

// Stats is what the stand-in counted.
type Stats struct {
	Report      Report         `json:"report"`
	Overloads   int            `json:"overloads"`
	Probes      int            `json:"probes"`
	Connections int            `json:"connections"`
	Executions  map[string]int `json:"executions"`
}

// Stats returns a copy of the counts.
func (t *Target) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	executions := make(map[string]int, len(t.executions))
	for id, count := range t.executions {
		executions[id] = count
	}
	return Stats{Report: t.report(), Overloads: t.overloads, Probes: t.probes, Connections: t.connections, Executions: executions}
}
