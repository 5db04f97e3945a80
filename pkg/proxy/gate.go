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

// queuePerUnit is how many requests may wait for each unit of a service at this
// node, and minQueue the least queue. A longer queue only adds waiting time.
const (
	queuePerUnit = 2
	minQueue     = 16
)

// gate is what all requests to one service share at this node.
type gate struct {
	budget  retry.Budget
	waiting atomic.Int64 // requests in the queue or about to be

	mu      sync.Mutex
	queue   *admission.Queue
	waiters map[*admission.Ticket]chan notice
}

// notice ends a wait.
type notice struct {
	refusal *admission.Rejection
	// others is how many more requests to wake in turn if this one cannot use the
	// free unit, because it belongs to another version or was tried before.
	others int
}

func newGate(service *snapshot.Service) *gate {
	limit := max(minQueue, service.Units*queuePerUnit)
	return &gate{queue: admission.NewQueue(limit), waiters: map[*admission.Ticket]chan notice{}}
}

// reserve takes one of the target's units at this node.
func reserve(target *snapshot.Target) bool {
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

// release gives a unit back and wakes the next request that waits.
func (g *gate) release(target *snapshot.Target) {
	target.Counters.InFlight.Add(-1)
	g.wake(1)
}

func (g *gate) wake(count int) {
	if g.waiting.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for range count {
		g.wakeOne(len(g.waiters) - 1)
	}
}

func (g *gate) wakeOne(others int) {
	next, expired := g.queue.Pop(time.Now())
	for _, ticket := range expired {
		g.tell(ticket, notice{refusal: &admission.Rejection{Reason: admission.ReasonExpired, RetryAfter: time.Second}})
	}
	if next != nil {
		g.tell(next, notice{others: others})
	}
}

func (g *gate) tell(ticket *admission.Ticket, news notice) {
	told, ok := g.waiters[ticket]
	if ok {
		delete(g.waiters, ticket)
		told <- news
	}
}

// wait queues until take succeeds. It counts itself as waiting before the first
// try, so that a unit that is released in between is not missed.
func (g *gate) wait(ctx context.Context, request admission.Request, take func() bool) *admission.Rejection {
	g.waiting.Add(1)
	defer g.waiting.Add(-1)
	others := 0
	for {
		ticket, told, refusal := g.push(request, take, others)
		if ticket == nil {
			return refusal
		}
		var news notice
		select {
		case news = <-told:
		case <-ctx.Done():
			g.leave(ticket)
			return &admission.Rejection{Reason: reasonDeadline, RetryAfter: time.Second}
		}
		if news.refusal != nil || take() {
			return news.refusal
		}
		others = news.others
	}
}

// push queues the request unless take succeeds; then there is no ticket. Before
// it joins the queue again it passes an unused wake-up on.
func (g *gate) push(request admission.Request, take func() bool, others int) (*admission.Ticket, chan notice, *admission.Rejection) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if take() {
		return nil, nil, nil
	}
	if others > 0 {
		g.wakeOne(others - 1)
	}
	ticket, evicted, refusal := g.queue.Push(time.Now(), request)
	if evicted != nil {
		g.tell(evicted, notice{refusal: evicted.Rejection})
	}
	if refusal != nil {
		return nil, nil, refusal
	}
	told := make(chan notice, 1)
	g.waiters[ticket] = told
	return ticket, told, nil
}

// leave takes a request out that gave up. If it was just woken, the next one is
// woken in its place.
func (g *gate) leave(ticket *admission.Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, queued := g.waiters[ticket]
	if !queued {
		g.wakeOne(len(g.waiters) - 1)
		return
	}
	delete(g.waiters, ticket)
	g.queue.Remove(ticket)
}
