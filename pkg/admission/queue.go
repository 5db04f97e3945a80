package admission

import "time"

// Request holds the properties of a request by which the queue orders it.
type Request struct {
	// Caller is the name of the caller group.
	Caller       string
	CallerWeight int
	// Kind is the name of the kind of work.
	Kind string
	// Priority of the kind. Lower values are served first if flows are due at the same virtual
	// time, and are rejected last.
	Priority   int
	KindWeight int
	// Deadline is the time from which the request is not sent any more; zero means none.
	Deadline time.Time
}

// Ticket is a waiting request.
type Ticket struct {
	Request Request
	// Rejection is set if the ticket was evicted.
	Rejection *Rejection
	flow      *flow
}

// flow holds the waiting requests of one caller and kind, oldest first.
type flow struct {
	key      flowKey
	weight   float64
	pass     float64 // virtual time at which the flow is due next
	priority int
	tickets  []*Ticket
}

type flowKey struct {
	caller, kind string
}

type callerState struct {
	waiting int
	weight  int
}

// Queue is a bounded queue with weighted fair scheduling (stride scheduling) over callers and kinds
// of work. It is not safe for concurrent use.
type Queue struct {
	limit   int
	waiting int
	flows   []*flow // only flows with waiting requests
	callers map[string]callerState
	pass    float64 // virtual time of the last served request
	rate    rateMeter
}

// NewQueue returns a queue of at most limit requests.
func NewQueue(limit int) *Queue {
	return &Queue{limit: limit, callers: map[string]callerState{}}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	return q.waiting
}

// Push adds a request. If the queue is full, it evicts an expired request or else the newest of the
// least urgent requests of the caller that is most above its share, and returns that ticket as
// evicted. If that caller is the request's own, only a less urgent request of it is evicted; without
// one, the new request is rejected.
func (q *Queue) Push(now time.Time, request Request) (ticket, evicted *Ticket, rejection *Rejection) {
	if isExpired(now, request) {
		return nil, nil, &Rejection{Reason: ReasonExpired, RetryAfter: minRetryAfter}
	}
	if q.waiting >= q.limit {
		evicted = q.victim(now, request)
		if evicted == nil {
			return nil, nil, q.rejection(now, ReasonFull)
		}
		q.evict(now, evicted)
	}
	ticket = &Ticket{Request: request}
	q.add(ticket)
	return ticket, evicted, nil
}

// Pop removes and returns the request that is due next, or nil. expiredTickets are the requests
// that it removed because their deadline had passed.
func (q *Queue) Pop(now time.Time) (ticket *Ticket, expiredTickets []*Ticket) {
	for q.waiting > 0 {
		next := q.nextFlow()
		ticket = next.tickets[0]
		q.Remove(ticket)
		if isExpired(now, ticket.Request) {
			expiredTickets = append(expiredTickets, ticket)
			continue
		}
		q.pass = next.pass
		next.pass += 1 / next.weight
		q.rate.count(now)
		return ticket, expiredTickets
	}
	return nil, expiredTickets
}

// Remove removes a ticket, for example if its caller cancelled the request. A ticket that is no
// longer waiting is ignored.
func (q *Queue) Remove(ticket *Ticket) {
	f := ticket.flow
	if f == nil {
		return
	}
	for i, waiting := range f.tickets {
		if waiting == ticket {
			f.tickets = append(f.tickets[:i], f.tickets[i+1:]...)
			break
		}
	}
	ticket.flow = nil
	q.waiting--
	q.decrementWaiting(ticket.Request.Caller)
	if len(f.tickets) == 0 {
		q.removeFlow(f)
	}
}

func (q *Queue) add(ticket *Ticket) {
	request := ticket.Request
	f := q.findOrAddFlow(request)
	f.tickets = append(f.tickets, ticket)
	ticket.flow = f
	q.waiting++
	state := q.callers[request.Caller]
	q.callers[request.Caller] = callerState{waiting: state.waiting + 1, weight: max(request.CallerWeight, 1)}
}

// findOrAddFlow returns the flow of a request and adds it if needed. A new flow starts one stride
// after the current virtual time, so it neither catches up on the time when it was empty nor is
// served early by being emptied and filled again.
func (q *Queue) findOrAddFlow(request Request) *flow {
	key := flowKey{request.Caller, request.Kind}
	for _, f := range q.flows {
		if f.key == key {
			return f
		}
	}
	weight := float64(max(request.CallerWeight, 1) * max(request.KindWeight, 1))
	f := &flow{key: key, weight: weight, pass: q.pass + 1/weight, priority: request.Priority}
	q.flows = append(q.flows, f)
	return f
}

func (q *Queue) nextFlow() *flow {
	best := q.flows[0]
	for _, f := range q.flows[1:] {
		if f.pass < best.pass || f.pass == best.pass && f.priority < best.priority {
			best = f
		}
	}
	return best
}

func (q *Queue) removeFlow(removed *flow) {
	for i, f := range q.flows {
		if f == removed {
			q.flows = append(q.flows[:i], q.flows[i+1:]...)
			return
		}
	}
}

func (q *Queue) decrementWaiting(caller string) {
	state := q.callers[caller]
	state.waiting--
	if state.waiting == 0 {
		delete(q.callers, caller)
		return
	}
	q.callers[caller] = state
}

func isExpired(now time.Time, request Request) bool {
	return !request.Deadline.IsZero() && !now.Before(request.Deadline)
}
