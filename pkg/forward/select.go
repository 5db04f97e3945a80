package forward

import (
	"time"

	"github.com/fireflychute/fireflychute/pkg/experiment"
	"github.com/fireflychute/fireflychute/pkg/placement"
	"github.com/fireflychute/fireflychute/pkg/topology"
)

// selectedTarget is the target selected for an attempt.
type selectedTarget struct {
	probeResult
	canary     bool
	cost       float64
	prediction placement.Prediction
	probed     int
	responded  int
	// unprobed is set for a limited target, whose load was not asked.
	unprobed bool
}

// selectTarget selects a target, starting with the given round of probes. It returns the reason
// if there is none. Requests for which the canary has no target go to the main version. Limited
// targets are used if this node holds a unit of the limit, or if no other target is left.
func (c *call) selectTarget(from round) (*selectedTarget, string) {
	pool, canary := c.selectPool()
	limited := c.limitedTargets(pool)
	selected := c.claimOwn(limited)
	if selected != nil {
		selected.canary = canary
		return selected, ""
	}
	selected, reason := c.selectUnlimited(pool, canary, from)
	if selected != nil || c.ctx.Err() != nil {
		return selected, reason
	}
	selected, wait := c.claimGranted(limited)
	if selected == nil && canary {
		canary = false
		selected, wait = c.claimGranted(c.limitedTargets(&c.service.Main))
	}
	if selected != nil {
		selected.canary = canary
		return selected, ""
	}
	return nil, c.limitedReason(reason, wait)
}

// selectUnlimited selects a target that has no limit of its own.
func (c *call) selectUnlimited(pool *topology.Pool, canary bool, from round) (*selectedTarget, string) {
	selected, reason := c.selectFrom(pool, canary, from)
	if selected == nil && canary && c.ctx.Err() == nil {
		return c.selectFrom(&c.service.Main, false, from)
	}
	return selected, reason
}

// selectFrom probes a few targets of the pool, and further ones until it finds a good candidate.
func (c *call) selectFrom(pool *topology.Pool, canary bool, from round) (*selectedTarget, string) {
	var results []probeResult
	probed := 0
	overloaded := c.serviceState.overload.IsOverloaded() || !c.serviceState.waitlist.IsEmpty()
	for at := firstRound(from, overloaded); at <= roundAll; at++ {
		if at > lastRound(overloaded, len(results)) {
			break
		}
		targets := c.sample(pool, at, results)
		probed += len(targets)
		results = append(results, c.probeTargets(targets)...)
		if c.ctx.Err() != nil {
			return nil, ReasonTimeout
		}
		if c.hasGoodCandidate(results, at) {
			break
		}
	}
	if probed == 0 {
		return nil, c.noTargetReason(pool)
	}
	selected, reason := c.claimBest(results)
	if selected == nil {
		c.recordProbedLoads(results)
		return nil, reason
	}
	selected.canary, selected.probed, selected.responded = canary, probed, len(results)
	c.record.ProbedLoads = nil
	return selected, ""
}

// noTargetReason returns why no target of a pool may be probed. It sets backOff to the time until
// the first of the targets that are backing off, or of the cold ones, accepts requests again.
func (c *call) noTargetReason(pool *topology.Pool) string {
	c.backOff = 0
	reason := ReasonNoTarget
	now := time.Now()
	for _, target := range pool.All() {
		view := target.Observed.View(now)
		if view.Leaving || !c.route.Allows(target) || c.wasAttempted(target) {
			continue
		}
		wait, cause := view.BackOff, ReasonBackingOff
		if warmup := c.warmupWait(target, view); warmup > wait {
			wait, cause = warmup, ReasonLimited
		}
		if wait > 0 && (c.backOff == 0 || wait < c.backOff) {
			c.backOff, reason = wait, cause
		}
	}
	return reason
}

// hasGoodCandidate reports whether a candidate is good enough to skip further rounds of probes.
func (c *call) hasGoodCandidate(results []probeResult, at round) bool {
	best := c.bestCandidate(results, true)
	return best != nil && best.prediction == placement.MeetsObjective && (at > roundFirst || placement.IsGood(best.cost))
}

// recordProbedLoads stores the reported loads in the record of a request without a target.
func (c *call) recordProbedLoads(results []probeResult) {
	c.record.ProbedLoads = c.record.ProbedLoads[:0]
	for i := range results {
		c.record.ProbedLoads = append(c.record.ProbedLoads, results[i].load())
	}
}

// claimBest returns the best target of those that responded, and claims a unit of its warm-up
// rate if it is cold. Targets that report themselves as unhealthy are used only if no other has
// free capacity.
func (c *call) claimBest(results []probeResult) (*selectedTarget, string) {
	if len(results) == 0 {
		return nil, ReasonNoProbeResult
	}
	for _, healthy := range []bool{true, false} {
		best := c.bestCandidate(results, healthy)
		for best != nil {
			if c.handler.options.Units.TryOwn(keyOf(best.target)) && c.claimWarmup(best.target) {
				return best, ""
			}
			results = excludeTarget(results, best.target)
			best = c.bestCandidate(results, healthy)
		}
	}
	return nil, ReasonNoRoom
}

// bestCandidate returns the candidate with the lowest cost of those that can serve the request,
// nil if there is none.
func (c *call) bestCandidate(results []probeResult, healthy bool) *selectedTarget {
	var best *selectedTarget
	reserve := c.service.Reserve(c.route.Priority)
	budget := c.timeBudget(time.Now())
	model := c.routeState.model
	for i := range results {
		result := &results[i]
		if result.healthy != healthy || !placement.HasCapacity(result.candidate, placement.InFlightLimit(result.candidate.Slots, reserve)) {
			continue
		}
		prediction := model.Predict(result.candidate, budget)
		if !c.accepts(result.candidate, budget, prediction) {
			continue
		}
		cost := model.Cost(result.candidate)
		if best == nil || cost < best.cost {
			best = &selectedTarget{probeResult: *result, cost: cost, prediction: prediction}
		}
	}
	return best
}

// accepts reports whether the request may be sent to a candidate.
func (c *call) accepts(candidate placement.Candidate, budget placement.TimeBudget, prediction placement.Prediction) bool {
	model := c.routeState.model
	if c.handler.isDisabled(experiment.Yielding) {
		return prediction == placement.MeetsObjective || prediction == placement.MissesObjective && model.MaxWait(budget) <= 0 && candidate.Running < candidate.Slots
	}
	return model.Accepts(candidate, budget, !c.serviceState.waitlist.IsEmpty())
}

func excludeTarget(results []probeResult, target *topology.Target) []probeResult {
	var remaining []probeResult
	for _, result := range results {
		if result.target != target {
			remaining = append(remaining, result)
		}
	}
	return remaining
}
