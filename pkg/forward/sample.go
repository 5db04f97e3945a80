package forward

import (
	"math/rand/v2"
	"time"

	"github.com/fireflychute/fireflychute/pkg/experiment"
	"github.com/fireflychute/fireflychute/pkg/placement"
	"github.com/fireflychute/fireflychute/pkg/topology"
)

const (
	// probesPerRound is the number of targets probed in a round.
	probesPerRound = 3
	// samplesPerProbe is the number of random targets checked for each probe before all
	// targets are scanned.
	samplesPerProbe = 4
)

func randomFraction(random *rand.Rand) float64 { return random.Float64() }

// selectPool returns the targets of the version to which the request goes, and whether it is the
// canary. While the canary has no targets, requests go to the main version.
func (c *call) selectPool() (*topology.Pool, bool) {
	canary := false
	pool := withRandom(c.handler, func(random *rand.Rand) *topology.Pool {
		var selected *topology.Pool
		selected, canary = c.service.ChoosePool(random)
		return selected
	})
	if canary && len(c.attempted) > 0 {
		// A retry or hedge is never sent to the canary.
		return &c.service.Main, false
	}
	return pool, canary
}

// round is a step of the search for a target.
type round int

// Rounds of probes. The node keeps connections to the targets of its subset, so the others are
// probed only if none of the subset can meet the request's objective.
const (
	roundFirst round = iota
	roundSubset
	roundAll
)

// firstRound returns the round with which a search starts: from, or under overload no later round
// than the subset.
func firstRound(from round, overloaded bool) round {
	if overloaded {
		return min(from, roundSubset)
	}
	return from
}

// lastRound returns the round with which a search ends. Under overload that is the subset if any
// of its targets has responded: the other targets are as full, and probes and connections to all
// of them would add the most load when there is the least free capacity.
func lastRound(overloaded bool, results int) round {
	if overloaded && results > 0 {
		return roundSubset
	}
	return roundAll
}

// sample returns the targets to probe in a round, of those that may serve the request.
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

// sampler samples the targets of one round of probes.
type sampler struct {
	call   *call
	now    time.Time
	probed []probeResult
}

// sample returns up to count random targets that may be probed, first those without a request of
// this node: they have an idle connection and are less loaded. It checks a bounded number of
// targets, so that the cost of a request does not grow with the number of targets.
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

// scanAll samples from all targets of the pool. Those that recently did not respond are used only
// if there are no others.
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

// usability is whether a target may be probed for a request. Unresponsive targets recently failed
// a probe or a connection; targets in use have a request of this node.
type usability int

const (
	targetUnusable usability = iota
	targetUnresponsive
	targetInUse
	targetUsable
)

func (s *sampler) classify(target *topology.Target) usability {
	if !s.call.route.Allows(target) || s.call.wasAttempted(target) || s.wasProbed(target) {
		return targetUnusable
	}
	view := target.Observed.View(s.now)
	switch {
	case !s.call.mayProbe(target):
		return targetUnusable
	case view.Leaving || view.BackOff > 0 || s.call.warmupWait(target, view) > 0:
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

func (c *call) wasAttempted(target *topology.Target) bool {
	for _, tried := range c.attempted {
		if tried.Observed == target.Observed {
			return true
		}
	}
	return false
}
