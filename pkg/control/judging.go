package control

import (
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/judge"
	"github.com/fireflychute/fireflychute/pkg/outcome"
)

// judgeLocally compares the versions by what this node saw in the last period and
// stops sending to a bad one without waiting for the controller.
func (c *Controller) judgeLocally(now time.Time) {
	if c.set == nil {
		return
	}
	for name, spec := range c.set.Rollouts {
		key := rolloutKey{name, c.set.Generations[api.KindRollout+"/"+name]}
		local := c.localJudge(now, key, spec)
		for _, route := range c.routesOf(spec.Service) {
			before := c.takeCounts(countKey{key, route, spec.From})
			after := c.takeCounts(countKey{key, route, spec.To})
			local.Observe(route, before, after)
		}
		bad, evidence := local.Verdict()
		if bad && !c.blocked(key) {
			c.counters.blocks.Add(1)
			c.block(now, key, describeEvidence(evidence))
		}
	}
	c.dropOldRollouts()
}

// localJudge returns the judge of this node. Half of the error rate goes to the
// controller, the other half is divided over the nodes.
func (c *Controller) localJudge(now time.Time, key rolloutKey, spec api.RolloutSpec) *judge.Judge {
	local := c.rollouts.local[key]
	if local == nil {
		alpha := judge.Alpha / 2 / float64(len(c.members.CountedNodes(now)))
		local = judge.New(alpha, c.routesOf(spec.Service))
		c.rollouts.local[key] = local
	}
	return local
}

func (c *Controller) takeCounts(key countKey) outcome.Counts {
	counts := c.recorder(key).Take()
	add(c.rollouts.unreported, key, counts)
	return counts
}

func add(to map[countKey]*outcome.Counts, key countKey, counts outcome.Counts) {
	if counts.Requests == 0 {
		return
	}
	sum := to[key]
	if sum == nil {
		sum = &outcome.Counts{}
		to[key] = sum
	}
	sum.Merge(counts)
}

// judgeFleet compares the versions by what all nodes reported since the last step.
func (c *Controller) judgeFleet(time.Time) {
	for name, spec := range c.set.Rollouts {
		key := rolloutKey{name, c.set.Generations[api.KindRollout+"/"+name]}
		fleet := c.fleetJudge(key, spec)
		for _, route := range c.routesOf(spec.Service) {
			fleet.Observe(route, c.collected(countKey{key, route, spec.From}), c.collected(countKey{key, route, spec.To}))
		}
	}
	clear(c.rollouts.collected)
}

func (c *Controller) fleetJudge(key rolloutKey, spec api.RolloutSpec) *judge.Judge {
	fleet := c.rollouts.fleet[key]
	if fleet == nil {
		fleet = judge.New(judge.Alpha/2, c.routesOf(spec.Service))
		c.rollouts.fleet[key] = fleet
	}
	return fleet
}

func (c *Controller) collected(key countKey) outcome.Counts {
	counts := c.rollouts.collected[key]
	if counts == nil {
		return outcome.Counts{}
	}
	return *counts
}
