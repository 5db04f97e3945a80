package edge

import (
	"context"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/canary"
	"github.com/fireflychute/fireflychute/pkg/catalog"
	"github.com/fireflychute/fireflychute/pkg/judge"
	"github.com/fireflychute/fireflychute/pkg/message"
	"github.com/fireflychute/fireflychute/pkg/outcome"
	"github.com/fireflychute/fireflychute/pkg/replica"
	"github.com/fireflychute/fireflychute/pkg/topology"
)

// analysisInterval is the period over which the two versions are compared.
const analysisInterval = time.Second

// rolloutState is what the node knows of rollouts beside the replica.
type rolloutState struct {
	isLeader bool
	// leaderSince is when the node began to lead.
	leaderSince time.Time
	// reports are the latest counts of each start of each node. Those of an earlier
	// start still count.
	reports map[reportKey]map[canary.Key]canary.Counts
	// tracked are the rollouts in progress by order.
	tracked map[uint64]*trackedRollout
}

type reportKey struct {
	node        string
	incarnation uint64
}

// trackedRollout is one rollout in progress.
type trackedRollout struct {
	// judge is nil until requests show which routes matter.
	judge  *judge.Judge
	routes map[string]bool
	// pValues is the judge's after the last look.
	pValues       judge.PValues
	analysedAt    time.Time
	lastCounts    map[canary.Key]canary.Counts
	requestRate   float64
	totalRequests uint64
	bad           bool
	blocked       bool
	// shareSince is when the share in force was first seen, base the elapsed time that the
	// step carried and when it was seen.
	shareSince      time.Time
	share           float64
	storedElapsedAt time.Time
	storedElapsed   time.Duration
	stepRevision    uint64
	stepWrite       writeState
	statusWrite     writeState
}

func newRolloutState() rolloutState {
	return rolloutState{reports: map[reportKey]map[canary.Key]canary.Counts{}, tracked: map[uint64]*trackedRollout{}}
}

// isOpen tells whether a rollout is still to be decided.
func isOpen(order topology.Order) bool {
	return order.State == catalog.RolloutNew || order.State == catalog.RolloutInProgress
}

// effectiveSteps are the steps in force, without the versions that this node blocks
// on its own evidence.
func (c *controller) effectiveSteps() map[string]catalog.Step {
	steps := make(map[string]catalog.Step, len(c.view.steps))
	for service, step := range c.view.steps {
		rollout := c.rollouts.tracked[step.Order]
		if rollout != nil && rollout.blocked {
			step.Failed = true
		}
		steps[service] = step
	}
	return steps
}

// localCounts are the node's counts of the rollouts in progress, for the leader.
func (c *controller) localCounts() []message.CanaryCount {
	var counts []message.CanaryCount
	for key, row := range c.outcomes.Rows(c.openOrders()) {
		counts = append(counts, message.CanaryCount{
			Service: key.Service, Order: key.Order, Route: key.Route, Canary: key.Canary,
			Requests: row.Requests, Failures: row.Failures, Latencies: row.LatencyList(),
		})
	}
	return counts
}

func (c *controller) openOrders() map[uint64]bool {
	open := map[uint64]bool{}
	for _, order := range c.view.orders {
		if isOpen(order) {
			open[order.ID] = true
		}
	}
	return open
}

// recordReport keeps the counts of another node.
func (c *controller) recordReport(node string, fetch *message.ReplicaFetch) {
	if len(fetch.Counts) == 0 {
		return
	}
	rows := map[canary.Key]canary.Counts{}
	for i := range fetch.Counts {
		count := &fetch.Counts[i]
		row := canary.Counts{Requests: count.Requests, Failures: count.Failures}
		row.SetLatencies(count.Latencies)
		rows[canary.Key{Service: count.Service, Order: count.Order, Route: count.Route, Canary: count.Canary}] = row
	}
	c.rollouts.reports[reportKey{node, fetch.Incarnation}] = rows
}

// updateRollouts follows all open rollouts and, on the leading node, decides on them.
func (c *controller) updateRollouts(ctx context.Context, now time.Time) {
	open := c.openOrders()
	for order := range c.rollouts.tracked {
		if !open[order] {
			delete(c.rollouts.tracked, order)
		}
	}
	if len(open) == 0 {
		clear(c.rollouts.reports)
		return
	}
	local := c.outcomes.Rows(open)
	for _, order := range c.view.orders {
		if !isOpen(order) {
			continue
		}
		t := c.track(now, order)
		c.blockLocally(now, t, order, local)
		c.analyseCanary(now, t, order, local)
		if c.rollouts.isLeader {
			c.advanceRollout(ctx, now, t, order)
		}
	}
}

func (c *controller) track(now time.Time, order topology.Order) *trackedRollout {
	t := c.rollouts.tracked[order.ID]
	if t == nil {
		t = &trackedRollout{storedElapsedAt: now, shareSince: now, analysedAt: now, lastCounts: map[canary.Key]canary.Counts{}, pValues: judge.NeutralPValues}
		c.rollouts.tracked[order.ID] = t
		c.log.Info().Str("service", order.Service).Str("version", order.Version).Dur("duration", order.Duration).
			Uint64("order", order.ID).Msg("rollout ordered")
	}
	step, ok := c.view.steps[order.Service]
	if ok && order.Owns(step) {
		if step.Share != t.share {
			t.share, t.shareSince = step.Share, now
		}
		if object, exists := c.replica.Object(replica.Steps, order.Service); exists && object.Revision > t.stepRevision {
			t.stepRevision, t.storedElapsed, t.storedElapsedAt = object.Revision, max(step.Elapsed, t.elapsed(now)), now
		}
	}
	return t
}

// elapsed is the time since the order, also across changes of the leader.
func (t *trackedRollout) elapsed(now time.Time) time.Duration {
	return t.storedElapsed + now.Sub(t.storedElapsedAt)
}

// blockLocally stops sending to a version on the node's own evidence.
func (c *controller) blockLocally(now time.Time, t *trackedRollout, order topology.Order, local map[canary.Key]canary.Counts) {
	if t.blocked {
		return
	}
	for key, row := range local {
		if key.Order != order.ID || !key.Canary {
			continue
		}
		base := key
		base.Canary = false
		if canary.IsBadLocally(local[base], row) {
			t.blocked = true
			c.stats.blocked.Add(1)
			c.log.Warn().Str("service", order.Service).Str("version", order.Version).Str("route", key.Route).
				Uint64("requests", row.Requests).Uint64("failures", row.Failures).Msg("version blocked on this node's evidence")
			c.publish(now)
			return
		}
	}
}

// analyseCanary gives the judge what happened on all nodes since the last look.
func (c *controller) analyseCanary(now time.Time, t *trackedRollout, order topology.Order, local map[canary.Key]canary.Counts) {
	period := now.Sub(t.analysedAt)
	if period < analysisInterval {
		return
	}
	t.analysedAt = now
	sums := map[canary.Key]canary.Counts{}
	addCounts(sums, order.ID, local)
	for _, rows := range c.rollouts.reports {
		addCounts(sums, order.ID, rows)
	}
	var total uint64
	overLimit := t.blocked
	for key, row := range sums {
		total += row.Requests
		if key.Canary {
			base := key
			base.Canary = false
			overLimit = overLimit || canary.IsBadFleetwide(sums[base], row, len(c.view.nodes))
		}
	}
	t.observe(sums, total)
	t.updateRate(float64(total-min(total, t.totalRequests)) / period.Seconds())
	t.totalRequests, t.lastCounts = total, sums
	bad, evidence := t.verdict()
	if (bad || overLimit) && !t.bad {
		t.bad = true
		c.log.Warn().Str("service", order.Service).Str("version", order.Version).Interface("evidence", evidence).Msg("version judged bad")
	}
}

// rateSmoothing is the weight of the last period in the rate of a service's requests.
const rateSmoothing = 0.4

// updateRate takes in the rate of the last period.
func (t *trackedRollout) updateRate(rate float64) {
	if t.requestRate == 0 {
		t.requestRate = rate
		return
	}
	t.requestRate += rateSmoothing * (rate - t.requestRate)
}

const (
	// minorRouteShare is the part of a service's requests below which a route is judged
	// together with the other such routes: each route of its own needs more evidence of
	// all of them.
	minorRouteShare = 0.02
	// minorRoutes stands for them in the judge.
	minorRoutes = "other routes"
)

// observe gives the judge what happened since the last look.
func (t *trackedRollout) observe(sums map[canary.Key]canary.Counts, total uint64) {
	if t.judge == nil && total > 0 {
		t.startJudge(sums, total)
	}
	if t.judge == nil {
		return
	}
	base, candidate := map[string]outcome.Counts{}, map[string]outcome.Counts{}
	for key, row := range sums {
		name := key.Route
		if !t.routes[name] {
			name = minorRoutes
		}
		group := base
		if key.Canary {
			group = candidate
		}
		counts := group[name]
		counts.Merge(row.Since(t.lastCounts[key]))
		group[name] = counts
	}
	for name := range t.routes {
		t.judge.Observe(name, base[name], candidate[name])
	}
	t.judge.Observe(minorRoutes, base[minorRoutes], candidate[minorRoutes])
	t.pValues = t.judge.PValues()
}

// startJudge chooses the routes that are judged by themselves.
func (t *trackedRollout) startJudge(sums map[canary.Key]canary.Counts, total uint64) {
	t.routes = map[string]bool{}
	names := []string{minorRoutes}
	for key, row := range sums {
		if !key.Canary && float64(row.Requests) >= minorRouteShare*float64(total) {
			t.routes[key.Route] = true
			names = append(names, key.Route)
		}
	}
	t.judge = judge.New(judge.Alpha, names)
}

// verdict tells whether the version was found to be bad, and the evidence.
func (t *trackedRollout) verdict() (bool, []api.Evidence) {
	if t.judge == nil {
		return false, nil
	}
	return t.judge.Verdict()
}

func addCounts(sums map[canary.Key]canary.Counts, order uint64, rows map[canary.Key]canary.Counts) {
	for key, row := range rows {
		if key.Order == order {
			sums[key] = sums[key].Add(row)
		}
	}
}
