package forward

import (
	"slices"
	"sync"
	"time"

	"github.com/fireflychute/fireflychute/pkg/experiment"
)

const (
	// latencyWeight is the weight of the latest latency in a route's average.
	latencyWeight = 0.05
	// Bounds of the delay before a hedge, as multiples of the route's average latency. The
	// reserve is the time left until the objective, so that the hedge can still meet it. The
	// minimum delay avoids hedges of requests that mostly end soon without one.
	hedgeReserveFactor  = 1.4
	hedgeMinDelayFactor = 1.4
	// initialHedgeShare is the share of the objective after which a request is hedged while
	// the average latency is unknown.
	initialHedgeShare = 0.6
	// hedgeBudgetShare is the share of the retry budget that hedges may use; the rest is
	// reserved for failed requests.
	hedgeBudgetShare = 0.6
	// slowAttemptFactor is the multiple of the route's average latency above which an attempt
	// counts as slow.
	slowAttemptFactor = 3.0
)

// latencyAverage is a moving average of the latency of a route.
type latencyAverage struct {
	mu   sync.Mutex
	mean float64 // seconds, 0 when unknown
}

func (a *latencyAverage) add(latency time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.mean == 0 {
		a.mean = latency.Seconds()
	}
	a.mean += latencyWeight * (latency.Seconds() - a.mean)
}

// hedgeDelay returns the time after which a running request is hedged.
func (a *latencyAverage) hedgeDelay(objective time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.mean == 0 {
		return time.Duration(initialHedgeShare * float64(objective))
	}
	usual := time.Duration(a.mean * float64(time.Second))
	return max(objective-time.Duration(hedgeReserveFactor*float64(usual)), time.Duration(hedgeMinDelayFactor*float64(usual)))
}

// slowAfter returns the time after which a running attempt counts as slow.
func (a *latencyAverage) slowAfter(objective time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.mean == 0 {
		return objective
	}
	return time.Duration(slowAttemptFactor * a.mean * float64(time.Second))
}

// attemptHedged sends the request to the selected target and, if an idempotent request takes
// much longer than usual, to a second one: probes cannot predict that the machine of a target
// slows down for a moment after the request was sent. It returns the first successful result, or
// nil if all attempts failed.
func (c *call) attemptHedged(selected *selectedTarget) *result {
	results := make(chan *result, 2)
	running := []*attempt{c.launch(selected, false, results)}
	latency := &c.routeState.latency
	var hedgeDue, slowDue <-chan time.Time
	if c.canHedge() {
		timer := time.NewTimer(latency.hedgeDelay(c.route.Objective))
		defer timer.Stop()
		hedgeDue = timer.C
	}
	if c.service.Order != 0 { // slow attempts are counted for rollouts only
		timer := time.NewTimer(latency.slowAfter(c.route.Objective))
		defer timer.Stop()
		slowDue = timer.C
	}
	for len(running) > 0 {
		select {
		case r := <-results:
			ended := slices.IndexFunc(running, func(a *attempt) bool { return a.target == r.target })
			r.record.Slow = running[ended].record.Slow
			running = slices.Delete(running, ended, ended+1)
			if r.response != nil {
				c.cancelRemaining(results, running)
				c.recordAttempt(r)
				return r
			}
			c.recordAttempt(r)
			r.cancel()
		case <-slowDue:
			c.reportSlow(running)
		case <-hedgeDue:
			hedgeDue = nil
			hedge := c.selectHedgeTarget()
			if hedge != nil {
				running = append(running, c.launch(hedge, true, results))
			}
		}
	}
	return nil
}

// reportSlow reports slow attempts to the observer while they still run. Otherwise slow responses
// would be counted so much later than fast ones that a slow version looks fast.
func (c *call) reportSlow(running []*attempt) {
	for _, a := range running {
		a.record.Latency, a.record.Slow = time.Since(a.start), true
		c.handler.options.Observer.SlowAttempt(&c.record, &a.record)
	}
}

// canHedge reports whether the request may be hedged.
func (c *call) canHedge() bool {
	return !c.handler.isDisabled(experiment.Hedging) && c.route.Idempotent && c.remainingBody == nil && c.route.Objective > 0 && len(c.attempted)-c.unreached < c.route.Attempts
}

// selectHedgeTarget returns the target of a hedge, or nil if no target has a free slot, other
// requests wait for one, or the retry budget is used up. A hedge takes no unit of a limit from a
// request that has no other target.
func (c *call) selectHedgeTarget() *selectedTarget {
	pool, canary := c.selectPool()
	hedge, _ := c.selectUnlimited(pool, canary, roundFirst)
	if hedge == nil || hedge.candidate.Running >= hedge.candidate.Slots || !c.serviceState.waitlist.IsEmpty() {
		return nil
	}
	options := &c.handler.options
	if !c.serviceState.retryBudget.Acquire(time.Now(), options.RetryRatio*hedgeBudgetShare, options.RetryExtra*hedgeBudgetShare/float64(c.topology.FleetSize)) {
		return nil
	}
	return hedge
}

// cancelRemaining cancels the attempts that still run. They are recorded with their latency so
// far: a target that responds after the hedge is slow, and a version whose slow attempts were
// omitted would look as fast as its fast ones.
func (c *call) cancelRemaining(results <-chan *result, running []*attempt) {
	if len(running) == 0 {
		return
	}
	for _, a := range running {
		a.cancel()
		record := a.record
		record.Latency, record.Superseded, record.Failure = time.Since(a.start), true, ReasonSuperseded
		c.record.Attempts = append(c.record.Attempts, record)
	}
	go func() {
		for range running {
			(<-results).discard()
		}
	}()
}
