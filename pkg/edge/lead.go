package edge

import (
	"context"
	"math"
	"time"

	"github.com/fireflychute/fireflychute/pkg/canary"
	"github.com/fireflychute/fireflychute/pkg/catalog"
	"github.com/fireflychute/fireflychute/pkg/replica"
	"github.com/fireflychute/fireflychute/pkg/topology"
)

// minShareChange is the least change of a share that is written.
const minShareChange = 0.01

// advanceRollout writes the next step of a rollout, and its status.
func (c *controller) advanceRollout(ctx context.Context, now time.Time, t *trackedRollout, order topology.Order) {
	progress := canary.Progress{
		Elapsed: t.elapsed(now), Duration: order.Duration, Share: t.share, ShareAge: now.Sub(t.shareSince),
		LeaderTime: now.Sub(c.rollouts.leaderSince), Requests: int(t.totalRequests), Rate: t.requestRate, Bad: t.bad || t.blocked,
		FailurePValue: t.pValues.Failures, LatencyPValue: t.pValues.Latency,
	}
	targetCount := c.countTargets(order)
	progress.HasTargets = targetCount > 0
	var base canary.Counts
	for key, row := range t.lastCounts {
		if key.Canary {
			progress.Exposed += int(row.Requests)
		} else {
			base = base.Add(row)
		}
	}
	progress.OldTailLatency = base.TailLatency()
	bounds := canary.ExposureBounds{Share: c.options.Settings.CanaryShare, Slack: c.options.Settings.CanarySlack}
	decision := canary.Decide(progress, bounds)
	switch {
	case decision.RollBack:
		c.writeStep(ctx, now, t, order, catalog.Step{Failed: true})
		// The next rollout takes its base from the step, so the step is written first.
		if c.hasFailedStep(order) {
			c.writeStatus(ctx, now, t, order, catalog.RolloutRolledBack)
		}
	case decision.Complete:
		c.writeStatus(ctx, now, t, order, catalog.RolloutComplete)
	default:
		c.writeStep(ctx, now, t, order, catalog.Step{Share: decision.Share, Targets: decision.Targets(targetCount)})
		if order.State == catalog.RolloutNew {
			c.writeStatus(ctx, now, t, order, catalog.RolloutInProgress)
		}
	}
}

// hasFailedStep tells whether the store has the step that ends a rollout as failed.
func (c *controller) hasFailedStep(order topology.Order) bool {
	step, exists := c.view.steps[order.Service]
	return exists && order.Owns(step) && step.Failed
}

// countTargets counts the targets of the version that an order is about.
func (c *controller) countTargets(order topology.Order) (count int) {
	for _, cached := range c.view.targets {
		if cached.err == nil && cached.target.Service == order.Service && cached.target.Version == order.Version && !cached.target.Leaving {
			count++
		}
	}
	return count
}

// writeStep writes the share of a version if it differs from the one in force.
func (c *controller) writeStep(ctx context.Context, now time.Time, t *trackedRollout, order topology.Order, step catalog.Step) {
	current, exists := c.view.steps[order.Service]
	same := exists && order.Owns(current) && current.Failed == step.Failed &&
		current.Targets == step.Targets && math.Abs(current.Share-step.Share) < minShareChange
	if same || t.stepWrite.inFlight || now.Before(t.stepWrite.notBefore) {
		return
	}
	step.Service, step.Version, step.Order = order.Service, order.Version, order.ID
	step.Base, step.Elapsed = c.baseVersion(order, current, exists), t.elapsed(now)
	spec, err := c.options.Codec.EncodeStep(step)
	if err != nil {
		c.log.Error().Err(err).Msg("step cannot be encoded")
		return
	}
	object, stored := c.replica.Object(replica.Steps, order.Service)
	c.log.Info().Str("service", order.Service).Str("version", order.Version).Float64("share", step.Share).Int("targets", step.Targets).Bool("failed", step.Failed).
		Dur("elapsed", step.Elapsed).Uint64("requests", t.totalRequests).Float64("rate", t.requestRate).Msg("rollout step")
	c.write(ctx, &t.stepWrite, replica.Steps, func(ctx context.Context) (replica.Object, error) {
		if stored {
			return c.options.Store.Replace(ctx, replica.Steps, order.Service, object.Revision, spec)
		}
		return c.options.Store.Create(ctx, replica.Steps, order.Service, spec)
	})
}

// baseVersion returns the version that a rollout replaces: the one that the last step
// left in use, or the one that most targets have.
func (c *controller) baseVersion(order topology.Order, last catalog.Step, exists bool) string {
	if exists && last.Base != "" && last.Base != order.Version {
		if last.Order == order.ID || last.Share < 1 || last.Failed {
			return last.Base
		}
		return last.Version
	}
	counts := map[string]int{}
	best := ""
	for _, cached := range c.view.targets {
		if cached.err != nil || cached.target.Service != order.Service || cached.target.Version == order.Version {
			continue
		}
		version := cached.target.Version
		counts[version]++
		if best == "" || counts[version] > counts[best] || counts[version] == counts[best] && version < best {
			best = version
		}
	}
	return best
}

// writeStatus writes the state of a rollout, conditional on the order that was read.
func (c *controller) writeStatus(ctx context.Context, now time.Time, t *trackedRollout, order topology.Order, state catalog.RolloutState) {
	if t.statusWrite.inFlight || now.Before(t.statusWrite.notBefore) {
		return
	}
	object, found := c.replica.Object(replica.Rollouts, order.Name)
	if !found {
		return
	}
	status, err := c.options.Codec.EncodeRolloutStatus(order.Version, state)
	if err != nil {
		c.log.Error().Err(err).Msg("status cannot be encoded")
		return
	}
	c.log.Info().Str("service", order.Service).Str("version", order.Version).RawJSON("status", status).
		Dur("elapsed", t.elapsed(now)).Msg("rollout status")
	c.write(ctx, &t.statusWrite, replica.Rollouts, func(ctx context.Context) (replica.Object, error) {
		return c.options.Store.ReplaceStatus(ctx, replica.Rollouts, order.Name, object.Revision, status)
	})
}
