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
	// A second send is useful while it may still end within the objective, and it is
	// wasted where most requests end by themselves. Both bounds are multiples of the
	// route's usual latency.
	hedgeReserveFactor  = 1.4
	hedgeMinDelayFactor = 1.4
	// initialHedgeShare is the part of the objective at which a second send is made before
	// the usual latency is known.
	initialHedgeShare = 0.6
	// hedgeBudgetShare is the part of the retry budget that second sends may use; the rest
	// is for requests that failed.
	hedgeBudgetShare = 0.6
	// slowAttemptFactor is after how many times the route's usual latency a send counts as late.
	slowAttemptFactor = 3.0
)

// latencyAverage is the usual latency of a route.
type latencyAverage struct {
	mu   sync.Mutex
	mean float64 // seconds, 0 when unknown
}

func (p *latencyAverage) add(latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mean == 0 {
		p.mean = latency.Seconds()
	}
	p.mean += latencyWeight * (latency.Seconds() - p.mean)
}

// hedgeDelay returns when a request that is still running is sent a second time.
func (p *latencyAverage) hedgeDelay(objective time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mean == 0 {
		return time.Duration(initialHedgeShare * float64(objective))
	}
	usual := time.Duration(p.mean * float64(time.Second))
	return max(objective-time.Duration(hedgeReserveFactor*float64(usual)), time.Duration(hedgeMinDelayFactor*float64(usual)))
}

// slowAfter returns when a send that is still running counts as late.
func (p *latencyAverage) slowAfter(objective time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mean == 0 {
		return objective
	}
	return time.Duration(slowAttemptFactor * p.mean * float64(time.Second))
}

// attemptHedged sends the request to the chosen target and, when an idempotent request takes
// much longer than usual, to a second one: targets whose machine turns slow for a
// moment after the send cannot be told before. It returns the first good result, or
// nil when all sends failed.
func (c *call) attemptHedged(selected *selectedTarget) *result {
	results := make(chan *result, 2)
	running := []*attempt{c.launch(selected, results)}
	latency := &c.routeState.latency
	var hedgeDue, slowDue <-chan time.Time
	if c.canHedge() {
		timer := time.NewTimer(latency.hedgeDelay(c.route.Objective))
		defer timer.Stop()
		hedgeDue = timer.C
	}
	if c.service.Order != 0 { // late sends are counted for rollouts only
		timer := time.NewTimer(latency.slowAfter(c.route.Objective))
		defer timer.Stop()
		slowDue = timer.C
	}
	for len(running) > 0 {
		select {
		case r := <-results:
			ended := slices.IndexFunc(running, func(s *attempt) bool { return s.target == r.target })
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
			second := c.selectHedgeTarget()
			if second != nil {
				running = append(running, c.launch(second, results))
			}
		}
	}
	return nil
}

// reportSlow tells the observer of sends that take long while they still run. Slow answers
// would else be known so much later than fast ones that a slow version looks fast.
func (c *call) reportSlow(running []*attempt) {
	for _, s := range running {
		s.record.Latency, s.record.Slow = time.Since(s.start), true
		c.handler.options.Observer.SlowAttempt(&c.record, &s.record)
	}
}

// canHedge tells whether the request may be sent a second time while it runs.
func (c *call) canHedge() bool {
	return !c.handler.isDisabled(experiment.Hedging) && c.route.Idempotent && c.remainingBody == nil && c.route.Objective > 0 && len(c.tried)-c.unreached < c.route.Attempts
}

// selectHedgeTarget chooses the target of a second send: one with a free slot, as long as
// the budget allows it.
func (c *call) selectHedgeTarget() *selectedTarget {
	second, _ := c.selectTarget(roundFirst)
	if second == nil || second.candidate.Running >= second.candidate.Slots || !c.serviceState.waitlist.IsEmpty() {
		return nil
	}
	options := &c.handler.options
	if !c.serviceState.retryBudget.Acquire(time.Now(), options.RetryRatio*hedgeBudgetShare, options.RetryExtra*hedgeBudgetShare/float64(c.topology.FleetSize)) {
		return nil
	}
	return second
}

// cancelRemaining ends the sends that are still running. They are recorded with the time that
// they took so far: a target that loses to a second send is slow, and a version whose
// slow sends were left out would look as fast as its fast ones.
func (c *call) cancelRemaining(results <-chan *result, running []*attempt) {
	if len(running) == 0 {
		return
	}
	for _, s := range running {
		s.cancel()
		record := s.record
		record.Latency, record.Superseded, record.Failure = time.Since(s.start), true, ReasonSuperseded
		c.record.Attempts = append(c.record.Attempts, record)
	}
	go func() {
		for range running {
			(<-results).discard()
		}
	}()
}
