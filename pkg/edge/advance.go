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

// minShareChange is the smallest change of a share that is written to the store.
const minShareChange = 0.01

// advanceRollout decides the next step of a rollout and writes it and the status.
func (c *controller) advanceRollout(ctx context.Context, now time.Time, t *trackedRollout, order topology.Order, counts map[canary.Key]canary.Counts) {
	targetCount := c.countTargets(order)
	progress := c.progress(now, t, order, counts)
	progress.HasTargets = targetCount > 0
	bounds := canary.ExposureBounds{Share: c.options.Settings.CanaryShare, Slack: c.options.Settings.CanarySlack}
	decision := canary.Decide(progress, bounds)
	c.logLate(t, order, progress, decision)
	switch {
	case decision.RollBack:
		c.writeStep(ctx, now, t, order, progress, catalog.Step{Failed: true})
		// The next rollout derives its old version from the step, so the step is written
		// before the status.
		if c.hasFailedStep(order) {
			c.writeStatus(ctx, now, order, catalog.RolloutRolledBack)
		}
	case decision.Complete:
		c.writeStatus(ctx, now, order, catalog.RolloutComplete)
	default:
		c.writeStep(ctx, now, t, order, progress, catalog.Step{Share: decision.Share, Targets: decision.Targets(targetCount), Until: decision.Until})
		if order.State == catalog.RolloutNew {
			c.writeStatus(ctx, now, order, catalog.RolloutInProgress)
		}
	}
}

// progress returns what is known of a rollout.
func (c *controller) progress(now time.Time, t *trackedRollout, order topology.Order, counts map[canary.Key]canary.Counts) canary.Progress {
	p := canary.Progress{
		Elapsed: t.elapsed(now), Duration: order.Duration, Share: t.share, ShareAge: now.Sub(t.shareSince),
		LeaderTime: now.Sub(c.rollouts.leaderSince), Rate: t.requestRate,
		Bad: t.bad || t.blocked, BlockingNodes: len(c.rollouts.blocking[order.ID]),
		FailurePValue: t.pValues.Failures, LatencyPValue: t.pValues.Latency,
	}
	var oldCounts canary.Counts
	for key, row := range counts {
		p.Requests += int(row.Requests)
		if key.Canary {
			p.Exposed += int(row.Requests)
		} else {
			oldCounts = oldCounts.Add(row)
		}
	}
	p.OldTailLatency, p.OldP90Latency = oldCounts.LatencyQuantile(tailQuantile), oldCounts.LatencyQuantile(drainQuantile)
	return p
}

// Quantiles of the old version's latency: the requests that a promotion waits for, at best and at least.
const (
	tailQuantile  = 0.99
	drainQuantile = 0.9
)

// logLate logs once that the exposure bound leaves no time to complete a rollout before its deadline.
func (c *controller) logLate(t *trackedRollout, order topology.Order, progress canary.Progress, decision canary.Decision) {
	if decision.Late == t.late || progress.Rate == 0 {
		return
	}
	t.late = decision.Late
	event := c.log.Info()
	if t.late {
		event = c.log.Warn()
	}
	event.Str("service", order.Service).Str("version", order.Version).Dur("duration", order.Duration).Dur("elapsed", progress.Elapsed).
		Float64("rate", progress.Rate).Bool("late", t.late).Msg("time that the exposure bound leaves for the promotion changed; the bound is kept, a late rollout completes after its deadline")
}

// hasFailedStep reports whether the step that marks the rollout as failed is stored.
func (c *controller) hasFailedStep(order topology.Order) bool {
	step, exists := c.view.steps[order.Service]
	return exists && order.Owns(step) && step.Failed
}

// countTargets returns the number of targets of the ordered version that are not leaving.
func (c *controller) countTargets(order topology.Order) (count int) {
	for _, cached := range c.view.targets {
		if cached.err == nil && cached.target.Service == order.Service && cached.target.Version == order.Version && !cached.target.Leaving {
			count++
		}
	}
	return count
}

// writeOf returns the write state of a key.
func writeOf(writes map[string]*writeState, key string) *writeState {
	if writes[key] == nil {
		writes[key] = &writeState{}
	}
	return writes[key]
}

// isReady reports whether a write may be made now. An urgent one does not wait for the interval between
// writes, only for the backoff after a failure.
func (w *writeState) isReady(now time.Time, isUrgent bool) bool {
	return !w.inFlight && (!now.Before(w.notBefore) || isUrgent && w.failures == 0)
}

// writeStep writes a step if it differs from the one in force.
func (c *controller) writeStep(ctx context.Context, now time.Time, t *trackedRollout, order topology.Order, progress canary.Progress, step catalog.Step) {
	current, exists := c.view.steps[order.Service]
	same := exists && order.Owns(current) && current.Failed == step.Failed &&
		current.Targets == step.Targets && (current.Until == 0) == (step.Until == 0) && math.Abs(current.Share-step.Share) < minShareChange
	isUrgent := step.Share >= 1 || step.Failed
	if same || !c.isCurrent(replica.Steps) || !writeOf(c.rollouts.stepWrites, order.Service).isReady(now, isUrgent) {
		return
	}
	step.Service, step.Version, step.Order = order.Service, order.Version, order.ID
	step.Base, step.Elapsed = c.oldVersion(order, current, exists), t.elapsed(now)
	step.Sequence = max(current.Sequence+1, uint64(now.UnixMilli()))
	_, evidence := t.verdict()
	c.log.Info().Str("service", order.Service).Str("version", order.Version).Float64("share", step.Share).Int("targets", step.Targets).Bool("failed", step.Failed).
		Dur("elapsed", step.Elapsed).Int("requests", progress.Requests).Int("exposed", progress.Exposed).Float64("rate", progress.Rate).
		Int("blockingNodes", progress.BlockingNodes).Float64("failurePValue", progress.FailurePValue).Float64("latencyPValue", progress.LatencyPValue).
		Interface("evidence", evidence).
		Msg("writing rollout step")
	c.storeStep(ctx, step)
}

// storeStep writes a step in place of the one that the store has.
func (c *controller) storeStep(ctx context.Context, step catalog.Step) {
	spec, err := c.options.Codec.EncodeStep(step)
	if err != nil {
		c.log.Error().Err(err).Msg("rollout step cannot be encoded; it is not written")
		return
	}
	object, exists, _ := c.replica.Stored(replica.Steps, step.Service)
	c.write(ctx, writeOf(c.rollouts.stepWrites, step.Service), replica.Steps, func(ctx context.Context) (replica.Object, error) {
		if exists {
			return c.options.Store.Replace(ctx, replica.Steps, step.Service, object.Revision, spec)
		}
		return c.options.Store.Create(ctx, replica.Steps, step.Service, spec)
	})
}

// oldVersion returns the version that a rollout replaces: the one in use after the last
// step, or without such a step the one that most targets run.
func (c *controller) oldVersion(order topology.Order, last catalog.Step, exists bool) string {
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

// writeStatus writes the state of a rollout if the store has the order and it still has the revision
// in the replica.
func (c *controller) writeStatus(ctx context.Context, now time.Time, order topology.Order, state catalog.RolloutState) {
	write := writeOf(c.rollouts.statusWrites, order.Name)
	object, exists, _ := c.replica.Stored(replica.Rollouts, order.Name)
	if !exists || !c.isCurrent(replica.Rollouts) || !write.isReady(now, false) {
		return
	}
	status, err := c.options.Codec.EncodeRolloutStatus(order.Version, state)
	if err != nil {
		c.log.Error().Err(err).Msg("rollout status cannot be encoded; it is not written")
		return
	}
	c.log.Info().Str("service", order.Service).Str("version", order.Version).RawJSON("status", status).Msg("writing rollout status")
	c.write(ctx, write, replica.Rollouts, func(ctx context.Context) (replica.Object, error) {
		return c.options.Store.ReplaceStatus(ctx, replica.Rollouts, order.Name, object.Revision, status)
	})
}
