package control

import (
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/judge"
	"github.com/fireflychute/fireflychute/pkg/outcome"
)

// analyseLocally compares the versions by the requests of this node since the last analysis. It
// blocks a bad version without waiting for the leader.
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

// localJudge returns the judge for the requests of this node. Half of judge.Alpha, the permitted
// rate of wrong roll-backs, is assigned to the leader, and the other half is divided among the
// nodes.
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

// analyseFleet compares the versions by the counts that all nodes reported since the last analysis.
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
