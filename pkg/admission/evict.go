package admission

import "time"

// victim returns the ticket that leaves a full queue for request, or nil when the
// request itself is to be refused.
func (q *Queue) victim(now time.Time, request Request) *Ticket {
	if ticket := q.oldestExpired(now); ticket != nil {
		return ticket
	}
	worst := q.mostOverShare(request)
	if worst == request.Caller {
		return q.newestLessUrgent(request)
	}
	return q.newest(worst)
}

func (q *Queue) oldestExpired(now time.Time) *Ticket {
	for _, f := range q.flows {
		for _, ticket := range f.tickets {
			if isExpired(now, ticket.Request) {
				return ticket
			}
		}
	}
	return nil
}

// mostOverShare compares waiting requests per weight, with request counted in.
// On equal terms the request's own caller is taken, and else the first by name,
// so that the result does not depend on the map's order.
func (q *Queue) mostOverShare(request Request) string {
	worst := request.Caller
	own := q.callers[request.Caller]
	highest := float64(own.waiting+1) / float64(max(request.CallerWeight, 1))
	for caller, state := range q.callers {
		if caller == request.Caller {
			continue
		}
		ratio := float64(state.waiting) / float64(state.weight)
		if ratio > highest || ratio == highest && worst != request.Caller && caller < worst {
			worst, highest = caller, ratio
		}
	}
	return worst
}

// newestLessUrgent returns the newest ticket of the same caller with a less urgent
// priority than request, or nil.
func (q *Queue) newestLessUrgent(request Request) *Ticket {
	ticket := q.newest(request.Caller)
	if ticket == nil || ticket.Request.Priority <= request.Priority {
		return nil
	}
	return ticket
}

// newest returns the newest ticket of the caller's least urgent flow.
func (q *Queue) newest(caller string) *Ticket {
	var worst *flow
	for _, f := range q.flows {
		if f.key.caller != caller {
			continue
		}
		if worst == nil || f.priority > worst.priority {
			worst = f
		}
	}
	if worst == nil {
		return nil
	}
	return worst.tickets[len(worst.tickets)-1]
}

func (q *Queue) evict(now time.Time, ticket *Ticket) {
	reason := ReasonOverShare
	if isExpired(now, ticket.Request) {
		reason = ReasonExpired
	}
	ticket.Rejection = q.rejection(now, reason)
	q.Remove(ticket)
}
