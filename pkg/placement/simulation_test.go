package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The simulated load: a service loses a part of its targets while more callers than usual send
// requests, and noisy neighbours slow each target down for a quarter of the time.
const (
	simSlots            = 2
	simTargets          = 10
	simRate             = 62 // requests a second
	simLength           = 6 * time.Second
	simStep             = time.Millisecond
	simObjective        = 400 * time.Millisecond
	simDeadline         = 3 * time.Second
	simServiceTime      = 160 * time.Millisecond
	simServiceTimeSigma = 0.3 // standard deviation of the logarithm
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
	running  []simWorkItem
}

// simWorkItem is a running request: when it ends and when its caller sent it first.
type simWorkItem struct{ end, arrival time.Duration }

type simRequest struct {
	arrival     time.Duration
	serviceTime float64
	attempts    int
	// nextPoll is when the request tries to get a target; waitingSince is the start of the
	// current attempt.
	nextPoll, waitingSince time.Duration
}

// simulation runs the load with one policy and one seed.
type simulation struct {
	random  *rand.Rand
	model   *Model
	targets [simTargets]simTarget
	// policy returns the target for a request, or -1, and whether the request keeps waiting.
	policy func(s *simulation, now time.Duration, request *simRequest, probed []int) (target int, waits bool)

	waiting                []*simRequest
	inTime, late, unserved int
}

func (s *simulation) candidate(i int) Candidate {
	t := &s.targets[i]
	return Candidate{Running: len(t.running), Slots: simSlots, Slowdown: t.slowdown, Local: true}
}

func (s *simulation) run() {
	for now := time.Duration(0); now < simLength+2*simDeadline; now += simStep {
		s.advance(now)
		if now < simLength && s.random.Float64() < simRate*simStep.Seconds() {
			serviceTime := simServiceTime.Seconds() * math.Exp(simServiceTimeSigma*s.random.NormFloat64())
			s.waiting = append(s.waiting, &simRequest{arrival: now, serviceTime: serviceTime, nextPoll: now, waitingSince: now})
		}
		var remaining []*simRequest
		for _, request := range s.waiting {
			if now < request.nextPoll || !s.tryPlace(now, request) {
				remaining = append(remaining, request)
			}
		}
		s.waiting = remaining
	}
	s.unserved += len(s.waiting)
}

// advance frees the slots of requests that have ended and changes the targets' slowdown.
func (s *simulation) advance(now time.Duration) {
	for i := range s.targets {
		t := &s.targets[i]
		if now%simSlowdownPeriod == 0 {
			t.slowdown = 1
			if s.random.Float64() < simSlowShare {
				t.slowdown = simSlowdown
			}
		}
		var remaining []simWorkItem
		for _, work := range t.running {
			if work.end > now {
				remaining = append(remaining, work)
			} else {
				s.recordOutcome(work)
			}
		}
		if len(t.running) == simSlots && len(remaining) < simSlots {
			scaleRemaining(remaining, now, 1/simBusyFactor)
		}
		t.running = remaining
	}
}

// recordOutcome counts a request that has ended.
func (s *simulation) recordOutcome(work simWorkItem) {
	switch {
	case work.end <= work.arrival+simObjective:
		s.inTime++
	case work.end <= work.arrival+simDeadline:
		s.late++
	default:
		s.unserved++
	}
}

// scaleRemaining multiplies the remaining time of all running requests by the factor.
func scaleRemaining(running []simWorkItem, now time.Duration, factor float64) {
	for i := range running {
		running[i].end = now + time.Duration(factor*float64(running[i].end-now))
	}
}

// tryPlace tries to place a request and reports whether it leaves the waiting requests: it was
// placed, or it is given up.
func (s *simulation) tryPlace(now time.Duration, request *simRequest) bool {
	target, waits := s.policy(s, now, request, SampleIndices(s.random, simTargets, 5))
	switch {
	case target >= 0:
		s.start(now, request, target)
		return true
	case waits:
		request.nextPoll = now + simPollInterval
		return false
	}
	request.attempts++
	if request.attempts == simAttempts || now+simRetryAfter > request.arrival+simDeadline {
		s.unserved++
		return true
	}
	request.nextPoll = now + simRetryAfter
	request.waitingSince = request.nextPoll
	return false
}

func (s *simulation) start(now time.Duration, request *simRequest, target int) {
	t := &s.targets[target]
	latency := request.serviceTime * t.slowdown
	if len(t.running)+1 == simSlots {
		latency *= simBusyFactor
		scaleRemaining(t.running, now, simBusyFactor)
	}
	t.running = append(t.running, simWorkItem{now + time.Duration(latency*float64(time.Second)), request.arrival})
}

// leastCost is the policy without the objective: the request goes to the cheapest target with a
// free slot, and is rejected at once if there is none.
func leastCost(s *simulation, _ time.Duration, _ *simRequest, probed []int) (int, bool) {
	best := -1
	for _, i := range probed {
		c := s.candidate(i)
		if HasCapacity(c, simSlots) && (best < 0 || s.model.Cost(c) < s.model.Cost(s.candidate(best))) {
			best = i
		}
	}
	return best, false
}

func budgetAt(now time.Duration, request *simRequest) TimeBudget {
	return TimeBudget{Objective: request.arrival + simObjective - now, Deadline: request.arrival + simDeadline - now}
}

// byObjective is the policy of the nodes.
func byObjective(s *simulation, now time.Duration, request *simRequest, probed []int) (int, bool) {
	return placeByObjective(s, now, request, probed, s.othersWait(now, request))
}

// lateIgnoresWaiters is byObjective except that requests past their objective do not yield to
// waiting ones.
func lateIgnoresWaiters(s *simulation, now time.Duration, request *simRequest, probed []int) (int, bool) {
	return placeByObjective(s, now, request, probed, false)
}

// lateTakesLastSlot is byObjective except that requests past their objective may use the last
// free slot of a target.
func lateTakesLastSlot(s *simulation, now time.Duration, request *simRequest, probed []int) (int, bool) {
	best, waits := byObjective(s, now, request, probed)
	if best >= 0 || waits || s.othersWait(now, request) {
		return best, waits
	}
	budget := budgetAt(now, request)
	for _, i := range probed {
		c := s.candidate(i)
		if HasCapacity(c, simSlots) && s.model.Predict(c, budget) == MissesObjective && !s.model.IsSlow(c) {
			return i, false
		}
	}
	return -1, false
}

func placeByObjective(s *simulation, now time.Duration, request *simRequest, probed []int, othersWait bool) (int, bool) {
	budget := budgetAt(now, request)
	best := -1
	for _, i := range probed {
		c := s.candidate(i)
		if HasCapacity(c, simSlots) && s.model.Accepts(c, budget, othersWait) && (best < 0 || s.model.Cost(c) < s.model.Cost(s.candidate(best))) {
			best = i
		}
	}
	return best, s.model.MaxWait(budget) > 0
}

// othersWait reports whether another request waits that can still meet its objective.
func (s *simulation) othersWait(now time.Duration, request *simRequest) bool {
	return slices.ContainsFunc(s.waiting, func(other *simRequest) bool {
		return other != request && other.waitingSince < now && s.model.MaxWait(budgetAt(now, other)) > 0
	})
}

func simulate(seed uint64, policy policy) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), model: NewModel(), policy: policy}
	for range 50 {
		s.model.ObserveLatency(Candidate{Slots: simSlots, Slowdown: 1}, simServiceTime)
		for i := range 4 {
			slowdown := 1.0
			if i == 0 {
				slowdown = simSlowdown
			}
			s.model.ObserveLoad(Candidate{Slots: simSlots, Slowdown: slowdown})
		}
	}
	s.run()
	return s
}

// Guards against slots that are used under overload by requests that miss their objective, while
// requests that could meet it wait or are rejected. On the same seeds, the policy with the
// objective must serve more requests in time than the one without, and leave no more unserved.
func TestObjectivePolicyMeetsMoreObjectivesUnderOverload(t *testing.T) {
	g := NewWithT(t)
	before, after := simulateAll(t, leastCost, byObjective)
	g.Expect(after.inTime).To(BeNumerically(">", before.inTime))
	g.Expect(after.unserved).To(BeNumerically("<=", before.unserved))
}

// Guards against freed slots that go to requests past their objective under overload, while
// requests wait that could meet theirs.
func TestLateRequestsYieldToWaiters(t *testing.T) {
	expectMoreInTime(t, lateIgnoresWaiters)
}

// Guards against requests past their objective that fill a target up and slow it down, so that the
// other requests in progress there, and the next ones sent there, miss theirs as well.
func TestLateRequestsDoNotFillTargets(t *testing.T) {
	expectMoreInTime(t, lateTakesLastSlot)
}

// expectMoreInTime checks that, compared with another policy, the nodes' policy serves more
// additional requests in time than it leaves additional requests unserved.
func expectMoreInTime(t *testing.T, other policy) {
	g := NewWithT(t)
	before, after := simulateAll(t, other, byObjective)
	gained, lost := after.inTime-before.inTime, after.unserved-before.unserved
	g.Expect(gained).To(BeNumerically(">", 0))
	g.Expect(lost).To(BeNumerically("<", gained))
}

type policy func(*simulation, time.Duration, *simRequest, []int) (int, bool)

// simulateAll runs two policies on the same seeds and returns the sums of their outcomes.
func simulateAll(t *testing.T, first, second policy) (before, after simulation) {
	for seed := range uint64(20) {
		a, b := simulate(seed, first), simulate(seed, second)
		before.inTime += a.inTime
		before.unserved += a.unserved
		after.inTime += b.inTime
		after.unserved += b.unserved
	}
	t.Logf("in time %d -> %d, never served %d -> %d", before.inTime, after.inTime, before.unserved, after.unserved)
	return before, after
}
