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

func (f *simTarget) arrive(w *attempt) {
	switch {
	case f.failing:
		f.clock.schedule(failFastTime, func() { w.reply(failed) })
	case len(f.running) >= f.slots && len(f.waiting) >= f.queue:
		w.reply(rejected)
	case len(f.running) >= f.slots:
		f.waiting = append(f.waiting, w)
	default:
		f.start(w)
	}
}

func (f *simTarget) start(w *attempt) {
	f.running = append(f.running, w)
	restarts := f.restarts
	overloaded := f.cold && len(f.running)+len(f.waiting) > f.coldCapacity()
	if overloaded {
		f.overloads++
		f.coldServed = 0
	}
	f.clock.schedule(time.Duration(float64(w.demand)*f.serviceTimeFactor()), func() { f.finish(w, restarts, overloaded) })
}

func (f *simTarget) finish(w *attempt, restarts int, overloaded bool) {
	if restarts != f.restarts {
		return // restart has already replied
	}
	f.running = slices.DeleteFunc(f.running, func(other *attempt) bool { return other == w })
	if len(f.waiting) > 0 {
		next := f.waiting[0]
		f.waiting = f.waiting[1:]
		f.start(next)
	}
	if overloaded {
		w.reply(failed)
		return
	}
	f.served++
	f.coldServed++
	f.cold = f.cold && f.coldServed < coldRequests
	w.reply(served)
}

// coldCapacity returns how many requests a cold target can have in flight without overload. It
// starts at 1 and doubles; the step from n to 2n takes 8n served requests.
func (f *simTarget) coldCapacity() int {
	level := 1
	for needed := 8; f.coldServed >= needed; needed += 8 * level {
		level *= 2
	}
	return level
}

func (f *simTarget) serviceTimeFactor() float64 {
	for f.noiseShiftAt <= f.clock.now {
		f.noisy = !f.noisy && f.noiseShiftAt > 0
		length := meanQuietTime
		if f.noisy {
			length = meanNoisyTime
		}
		f.noiseShiftAt += time.Duration(float64(length) * f.random.ExpFloat64())
	}
	factor := f.slowFactor
	if f.noisy {
		factor *= noiseFactor
	}
	if f.cold {
		factor *= coldFactor
	}
	return factor
}

// restart starts a cold incarnation and breaks the connections of the previous one.
func (f *simTarget) restart() {
	for _, w := range slices.Concat(f.running, f.waiting) {
		w.reply(broken)
	}
	f.restarts++
	f.running, f.waiting, f.served, f.coldServed = nil, nil, 0, 0
	f.cold = true
}

// report returns the load report, which is up to reportLag old.
func (f *simTarget) report() targets.Report {
	if f.clock.now-f.reportedAt >= reportLag || f.lastReport.Incarnation != f.incarnation() {
		f.reportedAt = f.clock.now
		f.lastReport = targets.Report{
			InFlight: len(f.running) + len(f.waiting), Queued: len(f.waiting), Served: uint64(f.served), Incarnation: f.incarnation(),
		}
	}
	return f.lastReport
}

func (f *simTarget) incarnation() string {
	return fmt.Sprintf("i%d", f.restarts)
}
