package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflychute/fireflychute/pkg/admission"
	"github.com/fireflychute/fireflychute/pkg/retry"
	"github.com/fireflychute/fireflychute/pkg/snapshot"
)

// queuePerUnit is how many requests may wait per unit of a service on this node, and minQueue is
// the minimum queue length. A longer queue only adds waiting time.
const (
	queuePerUnit = 2
	minQueue     = 16
)

// gate holds the retry budget and the queue that all requests to one service share on this node.
type gate struct {
	budget  retry.Budget
	waiting atomic.Int64 // requests in the queue or about to join it

	mu      sync.Mutex
	queue   *admission.Queue
	waiters map[*admission.Ticket]chan waitResult
}

// waitResult is sent to a waiting request: it was either rejected or may try to reserve the unit
// that has become free.
type waitResult struct {
	rejection *admission.Rejection
	// nextWaiters is how many more requests to notify, one after the other, if this one cannot use
	// the free unit because the unit belongs to another version or its target was already
	// attempted.
	nextWaiters int
}

func newGate(service *snapshot.Service) *gate {
	limit := max(minQueue, service.Units*queuePerUnit)
	return &gate{queue: admission.NewQueue(limit), waiters: map[*admission.Ticket]chan waitResult{}}
}

// reserveUnit reserves one of this node's units of the target. It returns false if none is free.
func reserveUnit(target *snapshot.Target) bool {
	for {
		used := target.Counters.InFlight.Load()
		if used >= int64(target.Units) || target.Counters.Leaving.Load() {
			return false
		}
		if target.Counters.InFlight.CompareAndSwap(used, used+1) {
			return true
		}
	}
}

// releaseUnit releases a unit and notifies the next waiting request.
func (g *gate) releaseUnit(target *snapshot.Target) {
	target.Counters.InFlight.Add(-1)
	g.notify(1)
}

// notify notifies count waiting requests.
func (g *gate) notify(count int) {
	if g.waiting.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for range count {
		g.notifyNext(len(g.waiters) - 1)
	}
}

// notifyNext notifies the next request, to which it passes nextWaiters, and rejects the expired
// ones. The caller holds g.mu.
func (g *gate) notifyNext(nextWaiters int) {
	next, expired := g.queue.Pop(time.Now())
	for _, ticket := range expired {
		g.deliver(ticket, waitResult{rejection: &admission.Rejection{Reason: admission.ReasonExpired, RetryAfter: time.Second}})
	}
	if next != nil {
		g.deliver(next, waitResult{nextWaiters: nextWaiters})
	}
}

// deliver ends the wait of a request, unless it has ended already. The caller holds g.mu.
func (g *gate) deliver(ticket *admission.Ticket, result waitResult) {
	done, waiting := g.waiters[ticket]
	if waiting {
		delete(g.waiters, ticket)
		done <- result
	}
}

// wait queues the request until acquire succeeds or the request is rejected. It counts the request
// as waiting before it first calls acquire, so that a unit released in between is not missed.
func (g *gate) wait(ctx context.Context, request admission.Request, acquire func() bool) *admission.Rejection {
	g.waiting.Add(1)
	defer g.waiting.Add(-1)
	nextWaiters := 0
	for {
		ticket, done, rejection := g.enqueue(request, acquire, nextWaiters)
		if ticket == nil {
			return rejection
		}
		var result waitResult
		select {
		case result = <-done:
		case <-ctx.Done():
			g.cancelWait(ticket)
			return &admission.Rejection{Reason: reasonDeadline, RetryAfter: time.Second}
		}
		if result.rejection != nil || acquire() {
			return result.rejection
		}
		nextWaiters = result.nextWaiters
	}
}

// enqueue queues the request unless acquire succeeds, in which case the ticket is nil. Before the
// request joins the queue again, an unused notification is passed on to the next one.
func (g *gate) enqueue(request admission.Request, acquire func() bool, nextWaiters int) (*admission.Ticket, chan waitResult, *admission.Rejection) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if acquire() {
		return nil, nil, nil
	}
	if nextWaiters > 0 {
		g.notifyNext(nextWaiters - 1)
	}
	ticket, evicted, rejection := g.queue.Push(time.Now(), request)
	if evicted != nil {
		g.deliver(evicted, waitResult{rejection: evicted.Rejection})
	}
	if rejection != nil {
		return nil, nil, rejection
	}
	done := make(chan waitResult, 1)
	g.waiters[ticket] = done
	return ticket, done, nil
}

// cancelWait removes a request whose context has ended. If it was just notified, the next request
// is notified in its place.
func (g *gate) cancelWait(ticket *admission.Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, queued := g.waiters[ticket]
	if !queued {
		g.notifyNext(len(g.waiters) - 1)
		return
	}
	delete(g.waiters, ticket)
	g.queue.Remove(ticket)
}
