package forward

import (
	"slices"
	"sync"
	"time"

	"github.com/fireflychute/fireflychute/pkg/experiment"
)

const (
	// paceWeight is the weight of the latest latency in a route's average.
	paceWeight = 0.05
	// A second send is useful while it may still end within the objective, and it is
	// wasted where most requests end by themselves. Both bounds are multiples of the
	// route's usual latency.
	hedgeReserve  = 1.4
	hedgePatience = 1.4
	// firstHedge is the part of the objective at which a second send is made before
	// the usual latency is known.
	firstHedge = 0.6
	// hedgeBudget is the part of the retry budget that second sends may use; the rest
	// is for requests that failed.
	hedgeBudget = 0.6
	// lateFactor is after how many times the route's usual latency a send counts as late.
	lateFactor = 3.0
)

// pace is the usual latency of a route.
type pace struct {
	mu   sync.Mutex
	mean float64 // seconds, 0 when unknown
}

func (p *pace) add(latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mean == 0 {
		p.mean = latency.Seconds()
	}
	p.mean += paceWeight * (latency.Seconds() - p.mean)
}

// hedgeDelay returns when a request that is still running is sent a second time.
func (p *pace) hedgeDelay(objective time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mean == 0 {
		return time.Duration(firstHedge * float64(objective))
	}
	usual := time.Duration(p.mean * float64(time.Second))
	return max(objective-time.Duration(hedgeReserve*float64(usual)), time.Duration(hedgePatience*float64(usual)))
}

// lateAfter returns when a send that is still running counts as late.
func (p *pace) lateAfter(objective time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mean == 0 {
		return objective
	}
	return time.Duration(lateFactor * p.mean * float64(time.Second))
}

// run sends the request to the chosen target and, when an idempotent request takes
// much longer than usual, to a second one: targets whose machine turns slow for a
// moment after the send cannot be told before. It returns the first good result, or
// nil when all sends failed.
func (c *call) run(chosen *choice) *result {
	results := make(chan *result, 2)
	sends := []*send{c.launch(chosen, results)}
	pace := &c.learned.pace
	var hedgeDue, lateDue <-chan time.Time
	if c.mayHedge() {
		timer := time.NewTimer(pace.hedgeDelay(c.route.Objective))
		defer timer.Stop()
		hedgeDue = timer.C
	}
	if c.service.Order != 0 { // late sends are counted for rollouts only
		timer := time.NewTimer(pace.lateAfter(c.route.Objective))
		defer timer.Stop()
		lateDue = timer.C
	}
	for len(sends) > 0 {
		select {
		case r := <-results:
			ended := slices.IndexFunc(sends, func(s *send) bool { return s.target == r.target })
			r.try.Late = sends[ended].try.Late
			sends = slices.Delete(sends, ended, ended+1)
			if r.answer != nil {
				c.abandon(results, sends)
				c.take(r)
				return r
			}
			c.take(r)
			r.cancel()
		case <-lateDue:
			c.noteLate(sends)
		case <-hedgeDue:
			hedgeDue = nil
			second := c.placeHedge()
			if second != nil {
				sends = append(sends, c.launch(second, results))
			}
		}
	}
	return nil
}

// noteLate tells the observer of sends that take long while they still run. Slow answers
// would else be known so much later than fast ones that a slow version looks fast.
func (c *call) noteLate(running []*send) {
	for _, s := range running {
		s.try.Latency, s.try.Late = time.Since(s.at), true
		c.handler.options.Observer.Late(&c.record, &s.try)
	}
}

// mayHedge tells whether the request may be sent a second time while it runs.
func (c *call) mayHedge() bool {
	return !c.handler.without(experiment.SecondSends) && c.route.Idempotent && c.rest == nil && c.route.Objective > 0 && len(c.tried)-c.unreached < c.route.Attempts
}

// placeHedge chooses the target of a second send: one with a free slot, as long as
// the budget allows it.
func (c *call) placeHedge() *choice {
	second, _ := c.place(roundFirst)
	if second == nil || second.candidate.Running >= second.candidate.Slots || !c.state.waiting.IsEmpty() {
		return nil
	}
	options := &c.handler.options
	if !c.state.window.Acquire(time.Now(), options.RetryRatio*hedgeBudget, options.RetryExtra*hedgeBudget/float64(c.topology.FleetSize)) {
		return nil
	}
	return second
}

// abandon ends the sends that are still running. They are recorded with the time that
// they took so far: a target that loses to a second send is slow, and a version whose
// slow sends were left out would look as fast as its fast ones.
func (c *call) abandon(results <-chan *result, running []*send) {
	if len(running) == 0 {
		return
	}
	for _, s := range running {
		s.cancel()
		try := s.try
		try.Latency, try.Overtaken, try.Failure = time.Since(s.at), true, ReasonOvertaken
		c.record.Tries = append(c.record.Tries, try)
	}
	go func() {
		for range running {
			(<-results).discard()
		}
	}()
}
