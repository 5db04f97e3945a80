package target

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	// coldFactor is the factor on the service time of a cold target.
	coldFactor = 4.0
	// coldDoublingRequests determines how fast a cold target warms up: its capacity starts at
	// 1 and doubles from n to 2n after coldDoublingRequests * n served requests.
	coldDoublingRequests = 8
)

// Target is a stand-in for one target.
type Target struct {
	options Options

	mu          sync.Mutex
	random      *rand.Rand
	incarnation string
	running     int
	waiting     int
	served      int
	coldServed  int // requests served since the last cold start or overload
	cold        bool
	overloads   int // executions above the capacity of a cold target
	draining    bool
	executions  map[string]int
	probes      int
	connections int
	reports     []timestampedReport
	free        chan struct{} // one element per free slot
}

// Report is the load that a target reports.
type Report struct {
	InFlight    int    `json:"inflight"`
	Queued      int    `json:"queued"`
	Served      int    `json:"served"`
	Incarnation string `json:"incarnation"`
	Version     string `json:"version"`
	Draining    bool   `json:"draining"`
}

type timestampedReport struct {
	at     time.Time
	report Report
}

// New returns a target with the given incarnation.
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

// Admission is the decision to accept a request or the reason for its rejection.
type Admission string

// Decisions on a request. The text of a rejection is the body of the response.
const (
	Accepted         Admission = ""
	RejectedFull     Admission = "full"
	RejectedDraining Admission = "draining"
)

// admit adds a request to the queue, or rejects it before any execution.
func (t *Target) admit() Admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return RejectedDraining
	}
	if t.running+t.waiting >= t.options.Slots+t.options.Queue {
		return RejectedFull
	}
	t.waiting++
	return Accepted
}

// execution is the service time and the outcome that are decided for a request when it gets
// a slot.
type execution struct {
	duration   time.Duration
	fail       bool // by the defect
	overloaded bool // started above the capacity of a cold target
}

// startExecution moves a request from the queue to a slot and logs its execution. A cold
// target above its capacity fails the request and restarts its warm-up.
func (t *Target) startExecution(id, path string) execution {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting--
	t.running++
	t.executions[id]++
	t.options.Log.write(id, path, time.Now())
	e := execution{duration: t.serviceTime()}
	if t.cold && t.running+t.waiting > t.coldCapacity() {
		t.overloads++
		t.coldServed = 0
		e.overloaded = true
		return e
	}
	t.applyDefect(&e, path)
	return e
}

func (t *Target) serviceTime() time.Duration {
	mean := float64(t.options.ServiceTime)
	if t.cold {
		mean *= coldFactor
	}
	return time.Duration(mean * (0.5 + 0.5*t.random.ExpFloat64()))
}

// coldCapacity returns the number of requests in flight that a cold target can serve.
func (t *Target) coldCapacity() int {
	capacity := 1
	for needed := coldDoublingRequests; needed <= t.coldServed && capacity < t.options.Slots; needed += capacity * coldDoublingRequests {
		capacity *= 2
	}
	return capacity
}

func (t *Target) applyDefect(e *execution, path string) {
	defect := t.options.Defect
	if !strings.HasPrefix(path, defect.PathPrefix) || t.served < defect.AfterRequests || t.running+t.waiting <= defect.AboveInFlight {
		return
	}
	e.fail = t.random.Float64() < defect.FailRatio
	if defect.SlowFactor > 1 {
		e.duration = time.Duration(float64(e.duration) * defect.SlowFactor)
	}
}

// leaveQueue removes a request that was abandoned before it got a slot.
func (t *Target) leaveQueue() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting--
}

// finishExecution ends an execution. Only served requests count towards the warm-up.
func (t *Target) finishExecution(served bool) {
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

// Report returns the current load.
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

// LaggingReport returns the load of ReportLag ago, as recorded by earlier calls.
func (t *Target) LaggingReport(now time.Time) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reports = append(t.reports, timestampedReport{now, t.report()})
	lagging := t.reports[0]
	for len(t.reports) > 1 && now.Sub(t.reports[1].at) >= t.options.ReportLag {
		t.reports = t.reports[1:]
		lagging = t.reports[0]
	}
	return lagging.report
}

// ResetWarmUp makes the target cold again and keeps its incarnation. It has no effect if
// ColdRequests is 0.
func (t *Target) ResetWarmUp() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cold = t.options.ColdRequests > 0
	t.coldServed = 0
}

// Drain makes the target reject new work.
func (t *Target) Drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
}

// SetDefect replaces the defect of the version.
func (t *Target) SetDefect(defect Defect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.options.Defect = defect
}

// Stats are the counters of the stand-in and its current load.
type Stats struct {
	Report      Report         `json:"report"`
	Overloads   int            `json:"overloads"`
	Probes      int            `json:"probes"`
	Connections int            `json:"connections"`
	Executions  map[string]int `json:"executions"`
}

// Stats returns a copy of the counters.
func (t *Target) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	executions := make(map[string]int, len(t.executions))
	for id, count := range t.executions {
		executions[id] = count
	}
	return Stats{Report: t.report(), Overloads: t.overloads, Probes: t.probes, Connections: t.connections, Executions: executions}
}
