package edge

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/canary"
	"github.com/fireflychute/fireflychute/pkg/catalog"
	"github.com/fireflychute/fireflychute/pkg/judge"
	"github.com/fireflychute/fireflychute/pkg/message"
	"github.com/fireflychute/fireflychute/pkg/outcome"
	"github.com/fireflychute/fireflychute/pkg/replica"
	"github.com/fireflychute/fireflychute/pkg/revision"
	"github.com/fireflychute/fireflychute/pkg/topology"
)

const (
	// analysisInterval is the minimum time between two comparisons of the canary with the old version.
	analysisInterval = time.Second
	// fullShareAnalysisInterval is the same while the new version has all requests: the time until
	// it is reported complete is short.
	fullShareAnalysisInterval = 300 * time.Millisecond
)

// rolloutState is the node's state of rollouts that is not in the replica.
type rolloutState struct {
	isLeader bool
	// leaderSince is when the node became the leader.
	leaderSince time.Time
	// reports holds the latest counts of each incarnation of each node. Counts of earlier
	// incarnations still count.
	reports map[reportKey]map[canary.Key]canary.Counts
	// blocking holds, by order ID, the nodes that block the order's version on their own counts.
	blocking map[uint64]map[string]bool
	// tracked holds the open rollouts by order ID.
	tracked map[uint64]*trackedRollout
	// stepWrites and statusWrites hold the writes by service and by the order's name.
	stepWrites, statusWrites map[string]*writeState
}

// maxClockLag is by how much the elapsed time of a rollout may differ between nodes without being
// corrected.
const maxClockLag = 300 * time.Millisecond

type reportKey struct {
	node        string
	incarnation uint64
}

// trackedRollout is the analysis state of one open rollout.
type trackedRollout struct {
	// judge is nil until there are requests from which to choose the routes.
	judge  *judge.Judge
	routes map[string]bool
	// pValues is the judge's result at the last analysis.
	pValues    judge.PValues
	analysedAt time.Time
	lastCounts map[canary.Key]canary.Counts
	// trackedSince is when this node first knew the order.
	trackedSince time.Time
	// rates holds the request rates of the last analyses, requestRate is their median.
	rates         []float64
	requestRate   float64
	totalRequests uint64
	bad           bool
	blocked       bool
	// expired is set while the time of the share in force is over.
	expired bool
	// late is set while the exposure bound leaves no time to complete the version in time.
	late bool
	// shareSince is when the share in force was first seen. storedElapsed is the elapsed time
	// that the last stored step records, storedElapsedAt is when that step was first seen.
	shareSince      time.Time
	share           float64
	storedElapsedAt time.Time
	storedElapsed   time.Duration
	stepRevision    revision.Revision
}

func newRolloutState() rolloutState {
	return rolloutState{
		reports: map[reportKey]map[canary.Key]canary.Counts{}, blocking: map[uint64]map[string]bool{},
		tracked: map[uint64]*trackedRollout{}, stepWrites: map[string]*writeState{}, statusWrites: map[string]*writeState{},
	}
}

// isOpen reports whether a rollout is neither completed nor rolled back.
func isOpen(order topology.Order) bool {
	return order.State == catalog.RolloutNew || order.State == catalog.RolloutInProgress
}

// effectiveSteps returns the steps in force. Steps of versions that this node blocks on its own
// evidence are marked as failed, and a share whose time is over is zero.
func (c *controller) effectiveSteps() map[string]catalog.Step {
	steps := make(map[string]catalog.Step, len(c.view.steps))
	for service, step := range c.view.steps {
		rollout := c.rollouts.tracked[step.Order]
		if rollout != nil && rollout.blocked {
			step.Failed = true
		}
		if rollout != nil && rollout.expired {
			step.Share = 0
		}
		steps[service] = step
	}
	return steps
}

// localCounts returns the node's counts of the open rollouts, to be reported to the leader.
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

// recordReport stores the counts reported by another node.
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

// orderReports returns the node's view of the open rollouts, to be reported to the leader.
func (c *controller) orderReports(now time.Time) []message.OrderReport {
	var reports []message.OrderReport
	for id, t := range c.rollouts.tracked {
		reports = append(reports, message.OrderReport{Order: id, ElapsedMs: int(t.elapsed(now).Milliseconds()), Blocked: t.blocked})
	}
	return reports
}

// recordOrders stores which versions another node blocks, and corrects the elapsed time of
// rollouts that this node has known for less long than the other one.
func (c *controller) recordOrders(now time.Time, node string, orders []message.OrderReport) {
	for _, order := range orders {
		if order.Blocked {
			c.rollouts.block(order.Order, node)
		}
		t := c.rollouts.tracked[order.Order]
		if t != nil {
			t.adoptElapsed(now, time.Duration(order.ElapsedMs)*time.Millisecond)
		}
	}
}

// block records that a node blocks the version of an order. A node that restarts has lost its
// counts, not the evidence, so the record stays.
func (r *rolloutState) block(order uint64, node string) {
	if r.blocking[order] == nil {
		r.blocking[order] = map[string]bool{}
	}
	r.blocking[order][node] = true
}

// updateRollouts analyses all open rollouts and, on the leader, advances them.
func (c *controller) updateRollouts(ctx context.Context, now time.Time) {
	if c.rollouts.isLeader {
		c.restoreRollouts(ctx, now)
	}
	open := c.openOrders()
	isClosed := func(order uint64) bool { return !open[order] }
	maps.DeleteFunc(c.rollouts.tracked, func(order uint64, _ *trackedRollout) bool { return isClosed(order) })
	maps.DeleteFunc(c.rollouts.blocking, func(order uint64, _ map[string]bool) bool { return isClosed(order) })
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
		c.expireShare(now, t, order)
		counts := c.sumCounts(order.ID, local)
		c.analyseCanary(now, t, order, counts)
		if c.rollouts.isLeader {
			c.advanceRollout(ctx, now, t, order, counts)
		}
	}
}

func (c *controller) track(now time.Time, order topology.Order) *trackedRollout {
	t := c.rollouts.tracked[order.ID]
	if t == nil {
		t = &trackedRollout{trackedSince: now, storedElapsedAt: now, shareSince: now, analysedAt: now, lastCounts: map[canary.Key]canary.Counts{}, pValues: judge.NeutralPValues}
		c.rollouts.tracked[order.ID] = t
		c.log.Info().Str("service", order.Service).Str("version", order.Version).Dur("duration", order.Duration).
			Uint64("order", order.ID).Msg("new rollout order")
	}
	step, ok := c.view.steps[order.Service]
	if ok && order.Owns(step) {
		if step.Share != t.share {
			t.share, t.shareSince = step.Share, now
		}
		if object, exists := c.replica.Object(replica.Steps, order.Service); exists && object.Revision.After(t.stepRevision) {
			t.stepRevision, t.storedElapsed, t.storedElapsedAt = object.Revision, max(step.Elapsed, t.elapsed(now)), now
		}
	}
	return t
}

// elapsed returns the time since the order. It continues across changes of the leader.
func (t *trackedRollout) elapsed(now time.Time) time.Duration {
	return t.storedElapsed + now.Sub(t.storedElapsedAt)
}

// adoptElapsed corrects the elapsed time if another node has known the order for longer.
func (t *trackedRollout) adoptElapsed(now time.Time, elapsed time.Duration) {
	if elapsed > t.elapsed(now)+maxClockLag {
		t.storedElapsed, t.storedElapsedAt = elapsed, now
	}
}

// blockLocally stops sending requests to a canary version on the node's own evidence.
func (c *controller) blockLocally(now time.Time, t *trackedRollout, order topology.Order, local map[canary.Key]canary.Counts) {
	if t.blocked {
		return
	}
	for key, row := range local {
		if key.Order != order.ID || !key.Canary {
			continue
		}
		oldKey := key
		oldKey.Canary = false
		if canary.IsBadLocally(local[oldKey], row) {
			t.blocked = true
			c.rollouts.block(order.ID, c.self.Name)
			c.stats.blocked.Add(1)
			c.log.Warn().Str("service", order.Service).Str("version", order.Version).Str("route", key.Route).
				Uint64("requests", row.Requests).Uint64("failures", row.Failures).Msg("canary version blocked on this node's own evidence; sending it no more requests")
			c.publish(now)
			return
		}
	}
}

// expireShare ends a share whose time is over, also while there is no leader.
func (c *controller) expireShare(now time.Time, t *trackedRollout, order topology.Order) {
	step, exists := c.view.steps[order.Service]
	expired := exists && order.Owns(step) && step.Until > 0 && t.elapsed(now) > step.Until
	if expired == t.expired {
		return
	}
	t.expired = expired
	if expired {
		c.log.Info().Str("service", order.Service).Str("version", order.Version).Float64("share", step.Share).Dur("until", step.Until).
			Msg("time of the canary version's share is over; sending it no more requests until the next step")
	}
	c.publish(now)
}

// sumCounts returns the counts of an order over all nodes.
func (c *controller) sumCounts(order uint64, local map[canary.Key]canary.Counts) map[canary.Key]canary.Counts {
	sums := map[canary.Key]canary.Counts{}
	addCounts(sums, order, local)
	for _, rows := range c.rollouts.reports {
		addCounts(sums, order, rows)
	}
	return sums
}

// analyseCanary compares the two versions on the counts of all nodes since the last analysis.
func (c *controller) analyseCanary(now time.Time, t *trackedRollout, order topology.Order, sums map[canary.Key]canary.Counts) {
	period := now.Sub(t.analysedAt)
	if period < fullShareAnalysisInterval || t.share < 1 && period < analysisInterval {
		return
	}
	t.analysedAt = now
	var total uint64
	overLimit := t.blocked
	for key, row := range sums {
		total += row.Requests
		if key.Canary {
			oldKey := key
			oldKey.Canary = false
			overLimit = overLimit || canary.IsBadFleetwide(sums[oldKey], row, len(c.view.nodes))
		}
	}
	t.observe(sums, total)
	if now.Sub(t.trackedSince) >= countsGatheringTime && now.Sub(c.rollouts.leaderSince) >= countsGatheringTime {
		t.updateRate(float64(total-min(total, t.totalRequests)) / period.Seconds())
	}
	t.totalRequests, t.lastCounts = total, sums
	bad, evidence := t.verdict()
	if (bad || overLimit) && !t.bad {
		t.bad = true
		c.log.Warn().Str("service", order.Service).Str("version", order.Version).Interface("evidence", evidence).Msg("canary analysis found the version bad; the leader rolls it back")
	}
}

const (
	// rateSamples is how many analyses the request rate of a service is estimated from.
	rateSamples = 5
	// countsGatheringTime is how long the counts of all nodes take to arrive at a node that has started or
	// has become the leader. They are no request rate.
	countsGatheringTime = 2 * time.Second
)

// updateRate estimates the rate as the median of the last periods.
func (t *trackedRollout) updateRate(rate float64) {
	t.rates = append(t.rates, rate)
	if len(t.rates) > rateSamples {
		t.rates = t.rates[1:]
	}
	sorted := slices.Sorted(slices.Values(t.rates))
	t.requestRate = sorted[len(sorted)/2]
}

const (
	// minorRouteShare is the part of a service's requests below which routes are analysed
	// together: each route analysed separately raises the evidence needed from all of them.
	minorRouteShare = 0.02
	// minorRoutes is the name of the combined routes in the analysis and its evidence.
	minorRoutes = "other routes"
)

// observe passes the counts since the last analysis to the judge.
func (t *trackedRollout) observe(sums map[canary.Key]canary.Counts, total uint64) {
	if t.judge == nil && total > 0 {
		t.startJudge(sums, total)
	}
	if t.judge == nil {
		return
	}
	oldCounts, newCounts := map[string]outcome.Counts{}, map[string]outcome.Counts{}
	for key, row := range sums {
		name := key.Route
		if !t.routes[name] {
			name = minorRoutes
		}
		group := oldCounts
		if key.Canary {
			group = newCounts
		}
		counts := group[name]
		counts.Merge(row.Since(t.lastCounts[key]))
		group[name] = counts
	}
	for name := range t.routes {
		t.judge.Observe(name, oldCounts[name], newCounts[name])
	}
	t.judge.Observe(minorRoutes, oldCounts[minorRoutes], newCounts[minorRoutes])
	t.pValues = t.judge.PValues()
}

// startJudge creates the judge and chooses the routes that are analysed separately.
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

// verdict reports whether the version was found to be bad, with the evidence.
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
