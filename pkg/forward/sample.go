package forward

import (
	"math/rand/v2"
	"time"

	"github.com/fireflychute/fireflychute/pkg/experiment"
	"github.com/fireflychute/fireflychute/pkg/placement"
	"github.com/fireflychute/fireflychute/pkg/topology"
)

const (
	// probesPerRound is how many targets are asked for their load in a round.
	probesPerRound = 3
	// samplesPerProbe is how many random targets are looked at for each one to ask
	// before all are gone through.
	samplesPerProbe = 4
)

func randomFraction(random *rand.Rand) float64 { return random.Float64() }

// selectPool returns the targets of the version to which the request goes. When a
// version that is rolled out has no target for the request, the one in use takes it.
func (c *call) selectPool() (*topology.Pool, bool) {
	canary := false
	pool := withRandom(c.handler, func(random *rand.Rand) *topology.Pool {
		var selected *topology.Pool
		selected, canary = c.service.ChoosePool(random)
		return selected
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
func firstRound(from round, overloaded bool) round {
	if overloaded {
		return min(from, roundSubset)
	}
	return from
}

// lastRound is the round with which a search ends. Under pressure that is the subset, if any
// of its targets answers: the others are as full, and questions and connections to all of them
// would load them the more, the less room there is.
func lastRound(overloaded bool, results int) round {
	if overloaded && results > 0 {
		return roundSubset
	}
	return roundAll
}

// sample returns the targets to ask in a round, of those that may take the request.
func (c *call) sample(pool *topology.Pool, at round, probed []probeResult) []*topology.Target {
	s := &sampler{call: c, now: time.Now(), probed: probed}
	count := probesPerRound
	if c.handler.isDisabled(experiment.Choice) {
		count = 1
	}
	switch {
	case at != roundAll && !c.handler.isDisabled(experiment.Subsets):
		return s.sample(pool.Subset, count)
	case c.handler.isDisabled(experiment.Locality):
		return s.sample(pool.All(), count)
	default:
		local := max(placement.LocalProbes(count), count-len(pool.Remote))
		sampled := s.sample(pool.Local, local)
		sampled = append(sampled, s.sample(pool.Remote, count-len(sampled))...)
		if len(sampled) == 0 && len(probed) == 0 {
			return s.scanAll(pool, count)
		}
		return sampled
	}
}

// sampler draws the targets of one round of questions.
type sampler struct {
	call   *call
	now    time.Time
	probed []probeResult
}

// sample returns up to count random targets that may be asked, those without a request of
// this node first: a connection to them is free, and they are less loaded. It looks at a
// bounded number of targets, so that a request does not cost more with more targets.
func (s *sampler) sample(targets []*topology.Target, count int) []*topology.Target {
	order := withRandom(s.call.handler, func(random *rand.Rand) []int {
		return placement.SampleIndices(random, len(targets), samplesPerProbe*count)
	})
	var sampled, inUse []*topology.Target
	for _, i := range order {
		if len(sampled) >= count {
			break
		}
		switch s.classify(targets[i]) {
		case targetUsable:
			sampled = append(sampled, targets[i])
		case targetInUse:
			inUse = append(inUse, targets[i])
		}
	}
	missing := min(count-len(sampled), len(inUse))
	return append(sampled, inUse[:missing]...)
}

// scanAll goes through all targets; those that did not answer lately are the last resort.
func (s *sampler) scanAll(pool *topology.Pool, count int) []*topology.Target {
	var usable, unresponsive []*topology.Target
	for _, targets := range [][]*topology.Target{pool.Local, pool.Remote} {
		for _, target := range targets {
			switch s.classify(target) {
			case targetUsable, targetInUse:
				usable = append(usable, target)
			case targetUnresponsive:
				unresponsive = append(unresponsive, target)
			}
		}
	}
	if len(usable) == 0 {
		usable = unresponsive
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
	targetUnresponsive
	targetInUse
	targetUsable
)

func (s *sampler) classify(target *topology.Target) usability {
	if !s.call.route.Allows(target) || s.call.wasTried(target) || s.wasProbed(target) {
		return targetUnusable
	}
	view := target.Observed.View(s.now)
	switch {
	case view.Leaving || view.BackOff > 0 || !target.Observed.CanAcquire(s.now):
		return targetUnusable
	case view.Ejected:
		return targetUnresponsive
	case view.Pending > 0:
		return targetInUse
	default:
		return targetUsable
	}
}

func (s *sampler) wasProbed(target *topology.Target) bool {
	for i := range s.probed {
		if s.probed[i].target.Observed == target.Observed {
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
