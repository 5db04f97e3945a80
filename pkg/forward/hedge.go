package forward

import (
	"context"
	"sync"
	"time"
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

func (h *Handler) pace(route string) *pace {
	known, ok := h.paces.Load(route)
	if !ok {
		known, _ = h.paces.LoadOrStore(route, &pace{})
	}
	return known.(*pace)
}

// run sends the request to the chosen target and, when an idempotent request takes
// much longer than usual, to a second one: targets whose machine turns slow for a
// moment after the send cannot be told before. It returns the first good result, or
// nil when all sends failed.
func (c *call) run(chosen *choice) *result {
	results := make(chan *result, 2)
	cancels := []context.CancelFunc{c.launch(chosen, results)}
	running := 1
	var late <-chan time.Time
	if c.mayHedge() {
		timer := time.NewTimer(c.handler.pace(c.route.Name).hedgeDelay(c.route.Objective))
		defer timer.Stop()
		late = timer.C
	}
	for running > 0 {
		select {
		case r := <-results:
			running--
			if c.take(r) {
				c.abandon(results, running, cancels, r)
				return r
			}
			r.cancel()
		case <-late:
			late = nil
			second := c.placeHedge()
			if second != nil {
				cancels = append(cancels, c.launch(second, results))
				running++
			}
		}
	}
	return nil
}

// mayHedge tells whether the request may be sent a second time while it runs.
func (c *call) mayHedge() bool {
	return c.route.Idempotent && c.rest == nil && c.route.Objective > 0 && len(c.tried)-c.unreached < c.route.Attempts
}

// placeHedge chooses the target of a second send: one with a free slot, as long as
// the budget allows it.
func (c *call) placeHedge() *choice {
	second, _ := c.place()
	if second == nil || second.candidate.Running >= second.candidate.Slots {
		return nil
	}
	options := &c.handler.options
	if !c.state.window.Take(time.Now(), options.RetryRatio*hedgeBudget, options.RetryExtra*hedgeBudget/float64(c.topology.Fleet)) {
		return nil
	}
	return second
}

// abandon ends the sends that are still running.
func (c *call) abandon(results <-chan *result, running int, cancels []context.CancelFunc, winner *result) {
	if running == 0 {
		return
	}
	for i, cancel := range cancels {
		if c.tried[len(c.tried)-len(cancels)+i] != winner.target {
			cancel()
		}
	}
	go func() {
		for range running {
			(<-results).discard()
		}
	}()
}
