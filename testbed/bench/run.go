package bench

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxTries is the number of targets that a request is sent to while each refuses
// it before running it. It holds for every policy.
const maxTries = 3

// Result is what callers saw in one run.
type Result struct {
	Policy   string
	Load     float64
	Answered int
	Refused  int
	// RefusedSteady counts refusals of the callers that keep a steady rate.
	RefusedSteady int
	Failed        int
	Overloads     int // executions that failed because a cold target had too much
	// Late counts the failures that were answers after the deadline.
	Late int
	// Steady is the latency of the callers that keep a steady rate.
	Steady  *hdrhistogram.Histogram
	Latency *hdrhistogram.Histogram
	// MaxInFlight is the most requests that any target had in flight.
	MaxInFlight int
}

// policy decides for one run. take starts a request; done is told of each answer of
// a target, before the request's caller is.
type policy interface {
	take(q *request)
	done(q *request, v verdict)
}

// request is one caller's request.
type request struct {
	arrival
	tries  int
	target int // present target
	sentAt time.Duration
	closed bool
	// handedOver tells that it was passed to another node, and back is the time of
	// its answer from there to the node of its arrival.
	handedOver bool
	back       time.Duration
}

type run struct {
	scenario Scenario
	clock    *clock
	random   *rand.Rand
	targets  []*fake
	inFlight []int
	policy   policy
	result   Result
}

// Run simulates one policy. The arrivals depend on scenario, load, length and seed
// only.
func Run(s Scenario, name string, load float64, length time.Duration, seed uint64) Result {
	r := &run{
		scenario: s, clock: &clock{}, random: rand.New(rand.NewPCG(seed, 3)), inFlight: make([]int, s.Targets),
		result: Result{Policy: name, Load: load, Latency: histogram(), Steady: histogram()},
	}
	for i := range s.Targets {
		r.targets = append(r.targets, newFake(r.clock, s.Spec.Slots, s.Spec.Queue, seed+uint64(i)))
	}
	r.policy = policies[name](r)
	for _, a := range arrivals(s, load, length, seed) {
		q := &request{arrival: a, target: -1}
		r.clock.after(a.at, func() { r.policy.take(q) })
	}
	r.faults()
	r.clock.run(length + drainTime)
	for _, f := range r.targets {
		r.result.Overloads += f.overloads
	}
	return r.result
}

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

// send passes a request to a target and its answer back.
func (r *run) send(q *request, to int) {
	q.tries++
	q.target, q.sentAt = to, r.clock.now
	r.inFlight[to]++
	r.result.MaxInFlight = max(r.result.MaxInFlight, r.inFlight[to])
	delay := r.delay(q.node, to)
	back := func(v verdict) { r.clock.after(delay, func() { r.answer(q, to, v) }) }
	r.clock.after(delay, func() { r.targets[to].arrive(&work{demand: q.demand, reply: back}) })
}

func (r *run) answer(q *request, to int, v verdict) {
	r.inFlight[to]--
	r.policy.done(q, v)
	if v == refused && q.tries < maxTries && r.clock.now < q.at+timeout {
		r.policy.take(q)
		return
	}
	r.close(q, v)
}

// close gives the caller its final response, with the latency from the intended time.
func (r *run) close(q *request, v verdict) {
	if q.closed {
		return
	}
	q.closed = true
	latency := r.clock.now + q.back - q.at
	switch {
	case v == refused:
		r.result.Refused++
		if q.caller != noisyCaller {
			r.result.RefusedSteady++
		}
	case v == failed || v == broken || latency > timeout:
		r.result.Failed++
		if v == served {
			r.result.Late++
		}
	default:
		r.result.Answered++
		// The values are within the range, as they are below the timeout.
		_ = r.result.Latency.RecordValue(latency.Microseconds())
		if q.caller != noisyCaller {
			_ = r.result.Steady.RecordValue(latency.Microseconds())
		}
	}
}

func (r *run) local(node, to int) bool {
	return node%dataCentres == to%dataCentres
}

func (r *run) delay(node, to int) time.Duration {
	if r.local(node, to) {
		return insideDelay
	}
	return r.scenario.CrossDelay
}
