// Package admission queues requests while all of a service's units at this node
// are busy.
package admission

import (
	"slices"
	"time"
)

// Request is what the queue needs to know of a request.
type Request struct {
	Caller               string
	CallerWeight         int
	Kind                 string
	Priority, KindWeight int
	Deadline             time.Time
}

// Reason says why a request was refused.
type Reason string

// Refusal states why and when to try again.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Ticket is a waiting request.
type Ticket struct {
	Request Request
	// Refusal is set when the ticket was evicted.
	Refusal *Refusal
}

// Queue is a bounded queue in order of arrival. It is not safe for concurrent use.
type Queue struct {
	limit   int
	tickets []*Ticket
}

// NewQueue returns a queue of at most limit requests.
func NewQueue(limit int) *Queue { return &Queue{limit: limit} }

// Push adds a request or refuses it.
func (q *Queue) Push(_ time.Time, request Request) (ticket, evicted *Ticket, refusal *Refusal) {
	if len(q.tickets) >= q.limit {
		return nil, nil, &Refusal{Reason: "queue full", RetryAfter: time.Second}
	}
	ticket = &Ticket{Request: request}
	q.tickets = append(q.tickets, ticket)
	return ticket, nil, nil
}

// Pop returns the next request, or nil, and those whose deadline passed.
func (q *Queue) Pop(now time.Time) (ticket *Ticket, expired []*Ticket) {
	for len(q.tickets) > 0 {
		first := q.tickets[0]
		q.tickets = q.tickets[1:]
		if first.Request.Deadline.After(now) {
			return first, expired
		}
		expired = append(expired, first)
	}
	return nil, expired
}

// Remove takes a ticket out.
func (q *Queue) Remove(ticket *Ticket) {
	i := slices.Index(q.tickets, ticket)
	if i >= 0 {
		q.tickets = slices.Delete(q.tickets, i, i+1)
	}
}
