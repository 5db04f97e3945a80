package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fireflychute/fireflychute/pkg/targets"
)

const (
	// A noisy neighbour slows a target down for short periods.
	noiseFactor   = 3.0
	meanNoisyTime = 30 * time.Millisecond
	meanQuietTime = 270 * time.Millisecond
	meanNoise     = (noiseFactor*30 + 270) / 300
	coldFactor    = 3.0
	coldRequests  = 200 // requests served before a target is warm
	reportLag     = 10 * time.Millisecond
	failFastTime  = 300 * time.Microsecond
)

// outcome is the outcome of one attempt at a target.
type outcome int

const (
	served outcome = iota
	failed
	rejected
	broken // connection broken with the request in flight
)

// attempt is one attempt of a request at a target.
type attempt struct {
	demand time.Duration // service time at a warm target without noise
	reply  func(outcome)
}

// simTarget simulates a target with slots, a queue, a cold start and a varying service time.
type simTarget struct {
	clock        *clock
	random       *rand.Rand
	slots        int
	queue        int
	noisy        bool
	noiseShiftAt time.Duration
	slowFactor   float64
	failing      bool
	restarts     int
	running      []*attempt
	waiting      []*attempt
	served       int
	cold         bool
	coldServed   int // requests served since the last cold start or overload
	overloads    int
	lastReport   targets.Report
	reportedAt   time.Duration
}

func newSimTarget(c *clock, slots, queue int, seed uint64) *simTarget {
	return &simTarget{clock: c, random: rand.New(rand.NewPCG(seed, 2)), slots: slots, queue: queue, slowFactor: 1, reportedAt: -reportLag}
}

func (t *simTarget) arrive(w *attempt) {
	switch {
	case t.failing:
		t.clock.schedule(failFastTime, func() { w.reply(failed) })
	case len(t.running) >= t.slots && len(t.waiting) >= t.queue:
		w.reply(rejected)
	case len(t.running) >= t.slots:
		t.waiting = append(t.waiting, w)
	default:
		t.start(w)
	}
}

func (t *simTarget) start(w *attempt) {
	t.running = append(t.running, w)
	restarts := t.restarts
	overloaded := t.cold && len(t.running)+len(t.waiting) > t.coldCapacity()
	if overloaded {
		t.overloads++
		t.coldServed = 0
	}
	t.clock.schedule(time.Duration(float64(w.demand)*t.serviceTimeFactor()), func() { t.finish(w, restarts, overloaded) })
}

func (t *simTarget) finish(w *attempt, restarts int, overloaded bool) {
	if restarts != t.restarts {
		return // restart has already replied
	}
	t.running = slices.DeleteFunc(t.running, func(other *attempt) bool { return other == w })
	if len(t.waiting) > 0 {
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		t.start(next)
	}
	if overloaded {
		w.reply(failed)
		return
	}
	t.served++
	t.coldServed++
	t.cold = t.cold && t.coldServed < coldRequests
	w.reply(served)
}

// coldCapacity returns how many requests a cold target can have in flight without overload. It
// starts at 1 and doubles; the step from n to 2n takes 8n served requests.
func (t *simTarget) coldCapacity() int {
	level := 1
	for needed := 8; t.coldServed >= needed; needed += 8 * level {
		level *= 2
	}
	return level
}

func (t *simTarget) serviceTimeFactor() float64 {
	for t.noiseShiftAt <= t.clock.now {
		t.noisy = !t.noisy && t.noiseShiftAt > 0
		length := meanQuietTime
		if t.noisy {
			length = meanNoisyTime
		}
		t.noiseShiftAt += time.Duration(float64(length) * t.random.ExpFloat64())
	}
	factor := t.slowFactor
	if t.noisy {
		factor *= noiseFactor
	}
	if t.cold {
		factor *= coldFactor
	}
	return factor
}

// restart starts a cold incarnation and breaks the connections of the previous one.
func (t *simTarget) restart() {
	for _, w := range slices.Concat(t.running, t.waiting) {
		w.reply(broken)
	}
	t.restarts++
	t.running, t.waiting, t.served, t.coldServed = nil, nil, 0, 0
	t.cold = true
}

// report returns the load report, which is up to reportLag old.
func (t *simTarget) report() targets.Report {
	if t.clock.now-t.reportedAt >= reportLag || t.lastReport.Incarnation != t.incarnation() {
		t.reportedAt = t.clock.now
		t.lastReport = targets.Report{
			InFlight: len(t.running) + len(t.waiting), Queued: len(t.waiting), Served: uint64(t.served), Incarnation: t.incarnation(),
		}
	}
	return t.lastReport
}

func (t *simTarget) incarnation() string {
	return fmt.Sprintf("i%d", t.restarts)
}
