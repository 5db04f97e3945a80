package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fireflychute/fireflychute/pkg/targets"
)

const (
	// A noisy neighbour slows a target for short periods.
	noiseFactor  = 3.0
	noisyTime    = 30 * time.Millisecond
	quietTime    = 270 * time.Millisecond
	meanNoise    = (noiseFactor*30 + 270) / 300
	coldFactor   = 3.0
	coldRequests = 200 // served before a target is warm
	reportLag    = 10 * time.Millisecond
	failFastTime = 300 * time.Microsecond
)

type verdict int

const (
	served verdict = iota
	failed
	refused
	broken // connection lost with the request in flight
)

// work is one request at a target.
type work struct {
	demand time.Duration
	reply  func(verdict)
}

// fake is a target with slots, a queue, a cold start and a changing service time.
type fake struct {
	clock      *clock
	random     *rand.Rand
	slots      int
	queue      int
	noisy      bool
	shiftAt    time.Duration
	slow       float64
	failing    bool
	generation int
	running    []*work
	waiting    []*work
	served     int
	cold       bool
	gained     int // served since the cold start or the last overload
	overloads  int
	shown      targets.Report
	shownAt    time.Duration
}

func newFake(c *clock, slots, queue int, seed uint64) *fake {
	return &fake{clock: c, random: rand.New(rand.NewPCG(seed, 2)), slots: slots, queue: queue, slow: 1, shownAt: -reportLag}
}

func (f *fake) arrive(w *work) {
	switch {
	case f.failing:
		f.clock.after(failFastTime, func() { w.reply(failed) })
	case len(f.running) >= f.slots && len(f.waiting) >= f.queue:
		w.reply(refused)
	case len(f.running) >= f.slots:
		f.waiting = append(f.waiting, w)
	default:
		f.start(w)
	}
}

func (f *fake) start(w *work) {
	f.running = append(f.running, w)
	generation := f.generation
	overloaded := f.cold && len(f.running)+len(f.waiting) > f.capacity()
	if overloaded {
		f.overloads++
		f.gained = 0
	}
	f.clock.after(time.Duration(float64(w.demand)*f.factor()), func() { f.finish(w, generation, overloaded) })
}

func (f *fake) finish(w *work, generation int, overloaded bool) {
	if generation != f.generation {
		return // restart has replied
	}
	f.running = slices.DeleteFunc(f.running, func(other *work) bool { return other == w })
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
	f.gained++
	f.cold = f.cold && f.gained < coldRequests
	w.reply(served)
}

// capacity is how many requests a cold target can have in flight.
func (f *fake) capacity() int {
	level := 1
	for needed := 8; f.gained >= needed; needed += 8 * level {
		level *= 2
	}
	return level
}

func (f *fake) factor() float64 {
	for f.shiftAt <= f.clock.now {
		f.noisy = !f.noisy && f.shiftAt > 0
		length := quietTime
		if f.noisy {
			length = noisyTime
		}
		f.shiftAt += time.Duration(float64(length) * f.random.ExpFloat64())
	}
	factor := f.slow
	if f.noisy {
		factor *= noiseFactor
	}
	if f.cold {
		factor *= coldFactor
	}
	return factor
}

// restart begins a cold incarnation and breaks the connections of the previous one.
func (f *fake) restart() {
	for _, w := range slices.Concat(f.running, f.waiting) {
		w.reply(broken)
	}
	f.generation++
	f.running, f.waiting, f.served, f.gained = nil, nil, 0, 0
	f.cold = true
}

// report is up to reportLag old.
func (f *fake) report() targets.Report {
	if f.clock.now-f.shownAt >= reportLag || f.shown.Incarnation != f.incarnation() {
		f.shownAt = f.clock.now
		f.shown = targets.Report{
			InFlight: len(f.running) + len(f.waiting), Queued: len(f.waiting), Served: uint64(f.served), Incarnation: f.incarnation(),
		}
	}
	return f.shown
}

func (f *fake) incarnation() string {
	return fmt.Sprintf("i%d", f.generation)
}
