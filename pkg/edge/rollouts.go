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

// judgeTime is the period over which the two versions are compared.
const judgeTime = time.Second

// rolloutState is what the node knows of rollouts beside the replica.
type rolloutState struct {
	leading bool
	// leadSince is when the node began to lead.
	leadSince time.Time
	// reports are the latest counts of each start of each node. Those of an earlier
	// start still count.
	reports map[reportKey]map[canary.Key]canary.Counts
	// tracked are the rollouts in progress by order.
	tracked map[uint64]*tracked
}

type reportKey struct {
	node        string
	incarnation uint64
}

// tracked is one rollout in progress.
type tracked struct {
	// judge is nil until requests show which routes matter.
	judge  *judge.Judge
	routes map[string]bool
	// suspicion is the judge's after the last look.
	suspicion judge.PValues
	judged    time.Time
	last      map[canary.Key]canary.Counts
	rate      float64
	total     uint64
	bad       bool
	blocked   bool
	// since is when the share in force was first seen, base the elapsed time that the
	// step carried and when it was seen.
	since    time.Time
	share    float64
	baseAt   time.Time
	base     time.Duration
	stepSeen uint64
	write    writeState
	status   writeState
}

func newRolloutState() rolloutState {
	return rolloutState{reports: map[reportKey]map[canary.Key]canary.Counts{}, tracked: map[uint64]*tracked{}}
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
		known := c.rollouts.tracked[step.Order]
		if known != nil && known.blocked {
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

// noteReport keeps the counts of another node.
func (c *controller) noteReport(node string, fetch *message.ReplicaFetch) {
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

// lead follows all open rollouts and, on the leading node, decides on them.
func (c *controller) lead(ctx context.Context, now time.Time) {
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
		c.compare(now, t, order, local)
		if c.rollouts.leading {
			c.decide(ctx, now, t, order)
		}
	}
}

func (c *controller) track(now time.Time, order topology.Order) *tracked {
	t := c.rollouts.tracked[order.ID]
	if t == nil {
		t = &tracked{baseAt: now, since: now, judged: now, last: map[canary.Key]canary.Counts{}, suspicion: judge.NeutralPValues}
		c.rollouts.tracked[order.ID] = t
		c.log.Info().Str("service", order.Service).Str("version", order.Version).Dur("duration", order.Duration).
			Uint64("order", order.ID).Msg("rollout ordered")
	}
	step, ok := c.view.steps[order.Service]
	if ok && order.Owns(step) {
		if step.Share != t.share {
			t.share, t.since = step.Share, now
		}
		if object, exists := c.replica.Object(replica.Steps, order.Service); exists && object.Revision > t.stepSeen {
			t.stepSeen, t.base, t.baseAt = object.Revision, max(step.Elapsed, t.elapsed(now)), now
		}
	}
	return t
}

// elapsed is the time since the order, also across changes of the leader.
func (t *tracked) elapsed(now time.Time) time.Duration { return t.base + now.Sub(t.baseAt) }

// blockLocally stops sending to a version on the node's own evidence.
func (c *controller) blockLocally(now time.Time, t *tracked, order topology.Order, local map[canary.Key]canary.Counts) {
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
			c.status.blocked.Add(1)
			c.log.Warn().Str("service", order.Service).Str("version", order.Version).Str("route", key.Route).
				Uint64("requests", row.Requests).Uint64("failures", row.Failures).Msg("version blocked on this node's evidence")
			c.publish(now)
			return
		}
	}
}

// compare gives the judge what happened on all nodes since the last look.
func (c *controller) compare(now time.Time, t *tracked, order topology.Order, local map[canary.Key]canary.Counts) {
	period := now.Sub(t.judged)
	if period < judgeTime {
		return
	}
	t.judged = now
	sums := map[canary.Key]canary.Counts{}
	addRows(sums, order.ID, local)
	for _, rows := range c.rollouts.reports {
		addRows(sums, order.ID, rows)
	}
	var total uint64
	condemned := t.blocked
	for key, row := range sums {
		total += row.Requests
		if key.Canary {
			base := key
			base.Canary = false
			condemned = condemned || canary.IsBadFleetwide(sums[base], row, len(c.view.nodes))
		}
	}
	t.observe(sums, total)
	t.noteRate(float64(total-min(total, t.total)) / period.Seconds())
	t.total, t.last = total, sums
	bad, evidence := t.verdict()
	if (bad || condemned) && !t.bad {
		t.bad = true
		c.log.Warn().Str("service", order.Service).Str("version", order.Version).Interface("evidence", evidence).Msg("version judged bad")
	}
}

// rateWeight is the weight of the last period in the rate of a service's requests.
const rateWeight = 0.4

// noteRate takes in the rate of the last period.
func (t *tracked) noteRate(rate float64) {
	if t.rate == 0 {
		t.rate = rate
		return
	}
	t.rate += rateWeight * (rate - t.rate)
}

const (
	// minorPart is the part of a service's requests below which a route is judged
	// together with the other such routes: each route of its own needs more evidence of
	// all of them.
	minorPart = 0.02
	// minorRoutes stands for them in the judge.
	minorRoutes = "other routes"
)

// observe gives the judge what happened since the last look.
func (t *tracked) observe(sums map[canary.Key]canary.Counts, total uint64) {
	if t.judge == nil && total > 0 {
		t.startJudge(sums, total)
	}
	if t.judge == nil {
		return
	}
	old, fresh := map[string]outcome.Counts{}, map[string]outcome.Counts{}
	for key, row := range sums {
		name := key.Route
		if !t.routes[name] {
			name = minorRoutes
		}
		of := old
		if key.Canary {
			of = fresh
		}
		counts := of[name]
		counts.Merge(row.Since(t.last[key]))
		of[name] = counts
	}
	for name := range t.routes {
		t.judge.Observe(name, old[name], fresh[name])
	}
	t.judge.Observe(minorRoutes, old[minorRoutes], fresh[minorRoutes])
	t.suspicion = t.judge.PValues()
}

// startJudge chooses the routes that are judged by themselves.
func (t *tracked) startJudge(sums map[canary.Key]canary.Counts, total uint64) {
	t.routes = map[string]bool{}
	names := []string{minorRoutes}
	for key, row := range sums {
		if !key.Canary && float64(row.Requests) >= minorPart*float64(total) {
			t.routes[key.Route] = true
			names = append(names, key.Route)
		}
	}
	t.judge = judge.New(judge.Alpha, names)
}

// verdict tells whether the version was found to be bad, and the evidence.
func (t *tracked) verdict() (bool, []api.Evidence) {
	if t.judge == nil {
		return false, nil
	}
	return t.judge.Verdict()
}

func addRows(sums map[canary.Key]canary.Counts, order uint64, rows map[canary.Key]canary.Counts) {
	for key, row := range rows {
		if key.Order == order {
			sums[key] = sums[key].Add(row)
		}
	}
}
