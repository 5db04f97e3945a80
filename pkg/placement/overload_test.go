package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The load that the tests below replay: a service loses a part of its targets while more
// callers than usual come, and neighbours make each target slow for a quarter of the time.
const (
	simSlots            = 2
	simTargets          = 10
	simRate             = 62 // requests a second
	simLength           = 6 * time.Second
	simStep             = time.Millisecond
	simObjective        = 400 * time.Millisecond
	simDeadline         = 3 * time.Second
	simServiceTime      = 160 * time.Millisecond
	simServiceTimeSigma = 0.3 // of the logarithm of the work
	simSlowdownPeriod   = 150 * time.Millisecond
	simSlowdown         = 5.0
	simSlowShare        = 0.25
	simBusyFactor       = 1.7
	simAttempts         = 3
	simRetryAfter       = 120 * time.Millisecond
	simPollInterval     = 40 * time.Millisecond
)

type simTarget struct {
	slowdown float64
	running  []simRunning
}

// simRunning is work that ends at a time, for a request that was asked before.
type simRunning struct{ end, arrival time.Duration }

type simRequest struct {
	arrival     time.Duration
	serviceTime float64
	attempts    int
	// nextPoll is when the request looks for a target, since when this attempt waits.
	nextPoll, waitingSince time.Duration
}

// simulation plays the load with one policy on one seed.
type simulation struct {
	random  *rand.Rand
	model   *Model
	targets [simTargets]simTarget
	// policy returns the target for a request, or -1, and whether the request looks again.
	policy func(r *simulation, now time.Duration, request *simRequest, asked []int) (target int, waits bool)

	waiting                []*simRequest
	inTime, late, unserved int
}

func (r *simulation) candidate(i int) Candidate {
	t := &r.targets[i]
	return Candidate{Running: len(t.running), Slots: simSlots, Slowdown: t.slowdown, Local: true}
}

func (r *simulation) run() {
	for now := time.Duration(0); now < simLength+2*simDeadline; now += simStep {
		r.advance(now)
		if now < simLength && r.random.Float64() < simRate*simStep.Seconds() {
			work := simServiceTime.Seconds() * math.Exp(simServiceTimeSigma*r.random.NormFloat64())
			r.waiting = append(r.waiting, &simRequest{arrival: now, serviceTime: work, nextPoll: now, waitingSince: now})
		}
		var remaining []*simRequest
		for _, request := range r.waiting {
			if now < request.nextPoll || !r.tryPlace(now, request) {
				remaining = append(remaining, request)
			}
		}
		r.waiting = remaining
	}
	r.unserved += len(r.waiting)
}

// advance frees the slots of work that has ended, and lets neighbours come and go.
func (r *simulation) advance(now time.Duration) {
	for i := range r.targets {
		t := &r.targets[i]
		if now%simSlowdownPeriod == 0 {
			t.slowdown = 1
			if r.random.Float64() < simSlowShare {
				t.slowdown = simSlowdown
			}
		}
		var remaining []simRunning
		for _, work := range t.running {
			if work.end > now {
				remaining = append(remaining, work)
			} else {
				r.recordOutcome(work)
			}
		}
		if len(t.running) == simSlots && len(remaining) < simSlots {
			scaleRemaining(remaining, now, 1/simBusyFactor)
		}
		t.running = remaining
	}
}

// recordOutcome takes in a request whose work has ended.
func (r *simulation) recordOutcome(work simRunning) {
	switch {
	case work.end <= work.arrival+simObjective:
		r.inTime++
	case work.end <= work.arrival+simDeadline:
		r.late++
	default:
		r.unserved++
	}
}

// scaleRemaining makes the rest of all work a number of times as long.
func scaleRemaining(running []simRunning, now time.Duration, factor float64) {
	for i := range running {
		running[i].end = now + time.Duration(factor*float64(running[i].end-now))
	}
}

// tryPlace tries to place a request and returns whether it has ended.
func (r *simulation) tryPlace(now time.Duration, request *simRequest) bool {
	target, waits := r.policy(r, now, request, SampleIndices(r.random, simTargets, 5))
	switch {
	case target >= 0:
		r.start(now, request, target)
		return true
	case waits:
		request.nextPoll = now + simPollInterval
		return false
	}
	request.attempts++
	if request.attempts == simAttempts || now+simRetryAfter > request.arrival+simDeadline {
		r.unserved++
		return true
	}
	request.nextPoll = now + simRetryAfter
	request.waitingSince = request.nextPoll
	return false
}

func (r *simulation) start(now time.Duration, request *simRequest, target int) {
	t := &r.targets[target]
	latency := request.serviceTime * t.slowdown
	if len(t.running)+1 == simSlots {
		latency *= simBusyFactor
		scaleRemaining(t.running, now, simBusyFactor)
	}
	t.running = append(t.running, simRunning{now + time.Duration(latency*float64(time.Second)), request.arrival})
}

// leastCost is the policy without the objective: the best target with a free slot takes
// the request, and without one it is refused at once.
func leastCost(r *simulation, _ time.Duration, _ *simRequest, probed []int) (int, bool) {
	best := -1
	for _, i := range probed {
		c := r.candidate(i)
		if HasCapacity(c, simSlots) && (best < 0 || r.model.Cost(c) < r.model.Cost(r.candidate(best))) {
			best = i
		}
	}
	return best, false
}

func budgetAt(now time.Duration, request *simRequest) TimeBudget {
	return TimeBudget{Objective: request.arrival + simObjective - now, Deadline: request.arrival + simDeadline - now}
}

// byObjective is the policy of the nodes.
func byObjective(r *simulation, now time.Duration, request *simRequest, probed []int) (int, bool) {
	return placeByObjective(r, now, request, probed, r.othersWait(now, request))
}

// lateIgnoresWaiters is byObjective in which late requests do not give way to those that wait.
func lateIgnoresWaiters(r *simulation, now time.Duration, request *simRequest, probed []int) (int, bool) {
	return placeByObjective(r, now, request, probed, false)
}

// lateTakesLastSlot is byObjective in which late requests take the last free slot of a target, too.
func lateTakesLastSlot(r *simulation, now time.Duration, request *simRequest, probed []int) (int, bool) {
	best, waits := byObjective(r, now, request, probed)
	if best >= 0 || waits || r.othersWait(now, request) {
		return best, waits
	}
	budget := budgetAt(now, request)
	for _, i := range probed {
		c := r.candidate(i)
		if HasCapacity(c, simSlots) && r.model.Predict(c, budget) == MissesObjective && !r.model.IsSlow(c) {
			return i, false
		}
	}
	return -1, false
}

func placeByObjective(r *simulation, now time.Duration, request *simRequest, probed []int, othersWait bool) (int, bool) {
	budget := budgetAt(now, request)
	best := -1
	for _, i := range probed {
		c := r.candidate(i)
		if HasCapacity(c, simSlots) && r.model.Accepts(c, budget, othersWait) && (best < 0 || r.model.Cost(c) < r.model.Cost(r.candidate(best))) {
			best = i
		}
	}
	return best, r.model.MaxWait(budget) > 0
}

// othersWait tells whether another request waits for a slot that can still be in time.
func (r *simulation) othersWait(now time.Duration, request *simRequest) bool {
	return slices.ContainsFunc(r.waiting, func(other *simRequest) bool {
		return other != request && other.waitingSince < now && r.model.MaxWait(budgetAt(now, other)) > 0
	})
}

func simulate(seed uint64, policy policy) *simulation {
	r := &simulation{random: rand.New(rand.NewPCG(seed, 1)), model: NewModel(), policy: policy}
	for range 50 {
		r.model.ObserveLatency(Candidate{Slots: simSlots, Slowdown: 1}, simServiceTime)
		for told := range 4 {
			slowness := 1.0
			if told == 0 {
				slowness = simSlowdown
			}
			r.model.ObserveLoad(Candidate{Slots: simSlots, Slowdown: slowness})
		}
	}
	r.run()
	return r
}

// Guards against overload in which slots are held by work that will be late, so that the
// requests that could be in time wait or are refused: with the objective more are in time
// than without, on the same seeds, and no more callers are never served.
func TestObjectivePolicyMeetsMoreObjectivesUnderOverload(t *testing.T) {
	g := NewWithT(t)
	before, after := simulateAll(t, leastCost, byObjective)
	g.Expect(after.inTime).To(BeNumerically(">", before.inTime))
	g.Expect(after.unserved).To(BeNumerically("<=", before.unserved))
}

// Guards against slots that free up under overload going to requests that are late already,
// while requests wait that could be in time.
func TestLateRequestsYieldToWaiters(t *testing.T) {
	expectMoreInTime(t, lateIgnoresWaiters)
}

// Guards against late requests that fill targets up, so that the requests beside them, and the
// next ones there, become late as well.
func TestLateRequestsDoNotFillTargets(t *testing.T) {
	expectMoreInTime(t, lateTakesLastSlot)
}

// expectMoreInTime checks that with the nodes' policy more callers gain an answer in time than
// lose a late one, compared with another policy.
func expectMoreInTime(t *testing.T, other policy) {
	g := NewWithT(t)
	before, after := simulateAll(t, other, byObjective)
	gained, lost := after.inTime-before.inTime, after.unserved-before.unserved
	g.Expect(gained).To(BeNumerically(">", 0))
	g.Expect(lost).To(BeNumerically("<", gained))
}

type policy func(*simulation, time.Duration, *simRequest, []int) (int, bool)

// simulateAll plays two policies on the same seeds and returns their sums.
func simulateAll(t *testing.T, first, second policy) (before, after simulation) {
	for seed := range uint64(20) {
		plain, chosen := simulate(seed, first), simulate(seed, second)
		before.inTime += plain.inTime
		before.unserved += plain.unserved
		after.inTime += chosen.inTime
		after.unserved += chosen.unserved
	}
	t.Logf("in time %d -> %d, never served %d -> %d", before.inTime, after.inTime, before.unserved, after.unserved)
	return before, after
}
