package bench

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxAttempts bounds the attempts of a request: it is sent again, under every policy, if a target
// rejects it without running it.
const maxAttempts = 3

// Result is the result of one run as callers observe it.
type Result struct {
	Policy   string
	Load     float64
	Answered int
	Rejected int
	// RejectedSteady counts rejected requests of the callers with a steady rate.
	RejectedSteady int
	Failed         int
	Overloads      int // executions that failed because a cold target was overloaded
	// PastDeadline counts the failures that were successful responses after the deadline.
	PastDeadline int
	// SteadyLatency is the latency of the callers with a steady rate.
	SteadyLatency *hdrhistogram.Histogram
	Latency       *hdrhistogram.Histogram
	// MaxInFlight is the highest number of requests in flight at any target.
	MaxInFlight int
}

// policy makes the routing decisions of one run. start is called for a new request, and again for
// another attempt after a target rejected it; complete is called for each response of a target,
// before the caller gets it.
type policy interface {
	start(q *request)
	complete(q *request, v outcome)
}

// request is one request of a caller.
type request struct {
	arrival
	attempts  int
	target    int // target of the current attempt, -1 before the first
	sentAt    time.Duration
	responded bool
	// forwarded reports that the request was passed to another node. returnDelay is the one-way
	// delay of the response from there to the node at which the request arrived.
	forwarded   bool
	returnDelay time.Duration
}

type run struct {
	scenario Scenario
	clock    *clock
	random   *rand.Rand
	targets  []*simTarget
	inFlight []int
	policy   policy
	result   Result
}

// Run simulates one policy. The arrivals depend on the scenario, load, length and seed only.
func Run(s Scenario, name string, load float64, length time.Duration, seed uint64) Result {
	r := &run{
		scenario: s, clock: &clock{}, random: rand.New(rand.NewPCG(seed, 3)), inFlight: make([]int, s.Targets),
		result: Result{Policy: name, Load: load, Latency: newHistogram(), SteadyLatency: newHistogram()},
	}
	for i := range s.Targets {
		r.targets = append(r.targets, newSimTarget(r.clock, s.Spec.Slots, s.Spec.Queue, seed+uint64(i)))
	}
	r.policy = policies[name](r)
	for _, a := range arrivals(s, load, length, seed) {
		q := &request{arrival: a, target: -1}
		r.clock.schedule(a.at, func() { r.policy.start(q) })
	}
	r.scheduleFaults()
	r.clock.run(length + drainTime)
	for _, f := range r.targets {
		r.result.Overloads += f.overloads
	}
	return r.result
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

// send starts an attempt at a target, and handles its response after the network delay.
func (r *run) send(q *request, to int) {
	q.attempts++
	q.target, q.sentAt = to, r.clock.now
	r.inFlight[to]++
	r.result.MaxInFlight = max(r.result.MaxInFlight, r.inFlight[to])
	delay := r.oneWayDelay(q.node, to)
	back := func(v outcome) { r.clock.schedule(delay, func() { r.finishAttempt(q, to, v) }) }
	r.clock.schedule(delay, func() { r.targets[to].arrive(&attempt{demand: q.demand, reply: back}) })
}

func (r *run) finishAttempt(q *request, to int, v outcome) {
	r.inFlight[to]--
	r.policy.complete(q, v)
	if v == rejected && q.attempts < maxAttempts && r.clock.now < q.at+timeout {
		r.policy.start(q)
		return
	}
	r.respond(q, v)
}

// respond records the final response to the caller, with the latency from the intended time.
func (r *run) respond(q *request, v outcome) {
	if q.responded {
		return
	}
	q.responded = true
	latency := r.clock.now + q.returnDelay - q.at
	switch {
	case v == rejected:
		r.result.Rejected++
		if q.caller != noisyCaller {
			r.result.RejectedSteady++
		}
	case v == failed || v == broken || latency > timeout:
		r.result.Failed++
		if v == served {
			r.result.PastDeadline++
		}
	default:
		r.result.Answered++
		// Values are at most the timeout, which is within the histogram's range.
		_ = r.result.Latency.RecordValue(latency.Microseconds())
		if q.caller != noisyCaller {
			_ = r.result.SteadyLatency.RecordValue(latency.Microseconds())
		}
	}
}

func (r *run) isLocal(node, to int) bool {
	return node%dataCentres == to%dataCentres
}

func (r *run) oneWayDelay(node, to int) time.Duration {
	if r.isLocal(node, to) {
		return localDelay
	}
	return r.scenario.CrossDelay
}
