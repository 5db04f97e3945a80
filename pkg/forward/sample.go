package forward

import (
	"math/rand/v2"
	"time"

	"github.com/fireflychute/fireflychute/pkg/experiment"
	"github.com/fireflychute/fireflychute/pkg/placement"
	"github.com/fireflychute/fireflychute/pkg/topology"
)

const (
	// questions is how many targets are asked for their load in a round.
	questions = 3
	// probesPerQuestion is how many random targets are looked at for each one to ask
	// before all are gone through.
	probesPerQuestion = 4
)

func randomFraction(random *rand.Rand) float64 { return random.Float64() }

// draw returns the targets of the version to which the request goes. When a
// version that is rolled out has no target for the request, the one in use takes it.
func (c *call) draw() (*topology.Pool, bool) {
	canary := false
	pool := withRandom(c.handler, func(random *rand.Rand) *topology.Pool {
		var drawn *topology.Pool
		drawn, canary = c.service.ChoosePool(random)
		return drawn
	})
	if canary && len(c.tried) > 0 {
		// A request that failed once is not sent to a version on trial again.
		return &c.service.Main, false
	}
	return pool, canary
}

// round is how far a request has gone in its search for a target.
type round int

// Rounds of questions. The node keeps connections to the targets of its subset, so the
// others are asked only when none of those can serve the request in time.
const (
	roundFirst round = iota
	roundSubset
	roundAll
)

// firstRound is the round in which a search begins that goes on from a round.
func firstRound(from round, pressed bool) round {
	if pressed {
		return min(from, roundSubset)
	}
	return from
}

// lastRound is the round with which a search ends. Under pressure that is the subset, if any
// of its targets answers: the others are as full, and questions and connections to all of them
// would load them the more, the less room there is.
func lastRound(pressed bool, answers int) round {
	if pressed && answers > 0 {
		return roundSubset
	}
	return roundAll
}

// sample returns the targets to ask in a round, of those that may take the request.
func (c *call) sample(pool *topology.Pool, at round, asked []heard) []*topology.Target {
	s := &sampler{call: c, now: time.Now(), asked: asked}
	count := questions
	if c.handler.without(experiment.Choice) {
		count = 1
	}
	switch {
	case at != roundAll && !c.handler.without(experiment.Subsets):
		return s.draw(pool.Subset, count)
	case c.handler.without(experiment.Locality):
		return s.draw(pool.All(), count)
	default:
		near := max(placement.LocalQuestions(count), count-len(pool.Remote))
		drawn := s.draw(pool.Local, near)
		drawn = append(drawn, s.draw(pool.Remote, count-len(drawn))...)
		if len(drawn) == 0 && len(asked) == 0 {
			return s.search(pool, count)
		}
		return drawn
	}
}

// sampler draws the targets of one round of questions.
type sampler struct {
	call  *call
	now   time.Time
	asked []heard
}

// draw returns up to count random targets that may be asked, those without a request of
// this node first: a connection to them is free, and they are less loaded. It looks at a
// bounded number of targets, so that a request does not cost more with more targets.
func (s *sampler) draw(targets []*topology.Target, count int) []*topology.Target {
	order := withRandom(s.call.handler, func(random *rand.Rand) []int {
		return placement.SampleIndices(random, len(targets), probesPerQuestion*count)
	})
	var drawn, engaged []*topology.Target
	for _, i := range order {
		if len(drawn) >= count {
			break
		}
		switch s.usable(targets[i]) {
		case targetUsable:
			drawn = append(drawn, targets[i])
		case targetEngaged:
			engaged = append(engaged, targets[i])
		}
	}
	missing := min(count-len(drawn), len(engaged))
	return append(drawn, engaged[:missing]...)
}

// search goes through all targets; those that did not answer lately are the last resort.
func (s *sampler) search(pool *topology.Pool, count int) []*topology.Target {
	var usable, held []*topology.Target
	for _, targets := range [][]*topology.Target{pool.Local, pool.Remote} {
		for _, target := range targets {
			switch s.usable(target) {
			case targetUsable, targetEngaged:
				usable = append(usable, target)
			case targetHeld:
				held = append(held, target)
			}
		}
	}
	if len(usable) == 0 {
		usable = held
	}
	return withRandom(s.call.handler, func(random *rand.Rand) []*topology.Target {
		return placement.Sample(random, usable, count)
	})
}

// usability tells whether a target may be asked for a request: held ones did not answer
// lately, engaged ones have a request of this node.
type usability int

const (
	targetUnusable usability = iota
	targetHeld
	targetEngaged
	targetUsable
)

func (s *sampler) usable(target *topology.Target) usability {
	if !s.call.route.Allows(target) || s.call.wasTried(target) || s.wasAsked(target) {
		return targetUnusable
	}
	view := target.Observed.View(s.now)
	switch {
	case view.Leaving || view.BackOff > 0 || !target.Observed.CanAcquire(s.now):
		return targetUnusable
	case view.Ejected:
		return targetHeld
	case view.Pending > 0:
		return targetEngaged
	default:
		return targetUsable
	}
}

func (s *sampler) wasAsked(target *topology.Target) bool {
	for i := range s.asked {
		if s.asked[i].target.Observed == target.Observed {
			return true
		}
	}
	return false
}

func (c *call) wasTried(target *topology.Target) bool {
	for _, tried := range c.tried {
		if tried.Observed == target.Observed {
			return true
		}
	}
	return false
}
