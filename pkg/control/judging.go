package control

import (
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/judge"
	"github.com/fireflychute/fireflychute/pkg/outcome"
)

// analyseLocally compares the versions by what this node saw in the last period and
// stops sending to a bad one without waiting for the controller.
func (c *Controller) analyseLocally(now time.Time) {
	if c.set == nil {
		return
	}
	for name, spec := range c.set.Rollouts {
		key := rolloutKey{name, c.set.Generations[api.KindRollout+"/"+name]}
		local := c.localJudge(now, key, spec)
		for _, route := range c.routesOf(spec.Service) {
			oldCounts := c.collectLocalCounts(countKey{key, route, spec.From})
			newCounts := c.collectLocalCounts(countKey{key, route, spec.To})
			local.Observe(route, oldCounts, newCounts)
		}
		bad, evidence := local.Verdict()
		if bad && !c.isBlocked(key) {
			c.counters.blocks.Add(1)
			c.blockVersion(now, key, describeEvidence(evidence))
		}
	}
	c.discardStaleEvidence()
}

// localJudge returns the judge of this node. Half of the error rate goes to the
// controller, the other half is divided over the nodes.
func (c *Controller) localJudge(now time.Time, key rolloutKey, spec api.RolloutSpec) *judge.Judge {
	local := c.rollouts.localJudges[key]
	if local == nil {
		alpha := judge.Alpha / 2 / float64(len(c.members.CountedNodes(now)))
		local = judge.New(alpha, c.routesOf(spec.Service))
		c.rollouts.localJudges[key] = local
	}
	return local
}

func (c *Controller) collectLocalCounts(key countKey) outcome.Counts {
	counts := c.recorder(key).Collect()
	addCounts(c.rollouts.unreported, key, counts)
	return counts
}

func addCounts(to map[countKey]*outcome.Counts, key countKey, counts outcome.Counts) {
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

// analyseFleet compares the versions by what all nodes reported since the last step.
func (c *Controller) analyseFleet(time.Time) {
	for name, spec := range c.set.Rollouts {
		key := rolloutKey{name, c.set.Generations[api.KindRollout+"/"+name]}
		fleet := c.fleetJudge(key, spec)
		for _, route := range c.routesOf(spec.Service) {
			fleet.Observe(route, c.receivedCounts(countKey{key, route, spec.From}), c.receivedCounts(countKey{key, route, spec.To}))
		}
	}
	clear(c.rollouts.received)
}

func (c *Controller) fleetJudge(key rolloutKey, spec api.RolloutSpec) *judge.Judge {
	fleet := c.rollouts.fleetJudges[key]
	if fleet == nil {
		fleet = judge.New(judge.Alpha/2, c.routesOf(spec.Service))
		c.rollouts.fleetJudges[key] = fleet
	}
	return fleet
}

func (c *Controller) receivedCounts(key countKey) outcome.Counts {
	counts := c.rollouts.received[key]
	if counts == nil {
		return outcome.Counts{}
	}
	return *counts
}
