package forward

import (
	"math/rand/v2"
	"time"

	"github.com/fireflychute/fireflychute/pkg/placement"
	"github.com/fireflychute/fireflychute/pkg/quota"
	"github.com/fireflychute/fireflychute/pkg/topology"
)

// limitedTargets returns the targets of a pool that may serve the request and that name a limit too
// low for load probes: each probe would take the place of a request.
func (c *call) limitedTargets(pool *topology.Pool) []*topology.Target {
	if c.handler.options.Limits.IsEmpty() {
		return nil
	}
	var limited []*topology.Target
	now := time.Now()
	for _, target := range pool.All() {
		if !c.mayProbe(target) && c.isUsable(target, now) {
			limited = append(limited, target)
		}
	}
	return withRandom(c.handler, func(random *rand.Rand) []*topology.Target {
		return placement.Sample(random, limited, len(limited))
	})
}

// mayProbe reports whether the limit of a target, if it names one, leaves room for load probes.
func (c *call) mayProbe(target *topology.Target) bool {
	options := &c.handler.options
	limit, limited := options.Limits.Get(keyOf(target))
	return !limited || options.Units.IsDivided(limit)
}

// isUsable reports whether the request may be sent to a target that is not probed first.
func (c *call) isUsable(target *topology.Target, now time.Time) bool {
	if !c.route.Allows(target) || c.wasAttempted(target) {
		return false
	}
	view := target.Observed.View(now)
	return !view.Leaving && !view.Ejected && view.BackOff == 0 && view.Pending < max(1, target.Slots) && c.warmupWait(target, view) == 0
}

// claimOwn claims a unit that this node holds itself of the limit of a target that does not fail. It
// returns nil if there is none.
func (c *call) claimOwn(limited []*topology.Target) *selectedTarget {
	for _, target := range limited {
		selected := c.unprobed(target)
		if placement.IsGood(selected.cost) && c.handler.options.Units.TryOwn(keyOf(target)) && c.claimWarmup(target) {
			return selected
		}
	}
	return nil
}

// claimGranted asks the owners of the limits for a unit, one after the other. It returns the time
// until the first of them has one again if none has.
func (c *call) claimGranted(limited []*topology.Target) (*selectedTarget, time.Duration) {
	var shortest time.Duration
	for _, target := range limited {
		grant := c.handler.options.Units.Acquire(c.ctx, keyOf(target))
		if grant.OK && c.claimWarmup(target) {
			return c.unprobed(target), 0
		}
		if shortest == 0 || grant.Wait < shortest {
			shortest = grant.Wait
		}
	}
	return nil, shortest
}

// claimWarmup reports whether the request may be sent to a target now, and claims a unit of the rate
// that all nodes together may send to it if it is cold.
func (c *call) claimWarmup(target *topology.Target) bool {
	now := time.Now()
	if !target.Observed.Accepts(now) {
		return false
	}
	return !target.Observed.View(now).Cold || c.handler.options.Units.AcquireOf(c.ctx, c.warmupLimit(target)).OK
}

// warmupWait returns the time until this node may send to a target that is cold, 0 for a warm one.
func (c *call) warmupWait(target *topology.Target, view topology.View) time.Duration {
	if !view.Cold {
		return 0
	}
	return c.handler.options.Units.Wait(c.warmupLimit(target).Key)
}

func (c *call) warmupLimit(target *topology.Target) quota.Limit {
	return quota.WarmupLimit(target.ID, target.Incarnation, c.service.WarmupRate)
}

// unprobed returns a limited target as a selection. It counts as idle, since it gets little.
func (c *call) unprobed(target *topology.Target) *selectedTarget {
	now := time.Now()
	view := target.Observed.View(now)
	candidate := placement.Candidate{Slots: target.Slots, Slowdown: 1, Cold: view.Cold, Local: target.Local, FailureRate: view.FailureRate}
	return &selectedTarget{
		probeResult: probeResult{target: target, candidate: candidate, healthy: true, ok: true, receivedAt: now},
		cost:        c.routeState.model.Cost(candidate), prediction: placement.MeetsObjective, unprobed: true,
	}
}

// limitedReason returns why there is no target, given the reason why there is none without a limit
// and the time until the first limited target has a unit, 0 if there is no limited target.
func (c *call) limitedReason(reason string, wait time.Duration) string {
	isWorthRetrying := reason == ReasonNoTarget || reason == ReasonBackingOff || reason == ReasonLimited
	if wait == 0 || !isWorthRetrying || c.backOff > 0 && c.backOff <= wait {
		return reason
	}
	c.backOff = wait
	return ReasonLimited
}
