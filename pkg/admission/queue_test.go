package admission

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func requestFrom(caller string) Request {
	return Request{Caller: caller, CallerWeight: 1, Kind: "lookup", KindWeight: 1}
}

func popCounts(q *Queue, n int) map[string]int {
	counts := map[string]int{}
	for range n {
		ticket, _ := q.Pop(start)
		counts[ticket.Request.Caller+"/"+ticket.Request.Kind]++
	}
	return counts
}

// Guards against a noisy caller that fills the queue and starves the others.
func TestNoisyCallerIsRejectedFirst(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue(10)
	for range 10 {
		q.Push(start, requestFrom("noisy"))
	}
	_, _, rejection := q.Push(start, requestFrom("noisy"))
	g.Expect(rejection.Reason).To(Equal(ReasonFull))
	for range 5 {
		ticket, evicted, rejected := q.Push(start, requestFrom("quiet"))
		g.Expect(rejected).To(BeNil())
		g.Expect(ticket).NotTo(BeNil())
		g.Expect(evicted.Request.Caller).To(Equal("noisy"))
		g.Expect(evicted.Rejection.Reason).To(Equal(ReasonOverShare))
	}
	_, _, rejection = q.Push(start, requestFrom("quiet"))
	g.Expect(rejection).NotTo(BeNil())
	g.Expect(popCounts(q, 4)).To(Equal(map[string]int{"noisy/lookup": 2, "quiet/lookup": 2}))
}

// Guards against turns that ignore the weights of callers or kinds.
func TestServiceOrderFollowsWeights(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue(100)
	for range 30 {
		heavy, work := requestFrom("heavy"), requestFrom("light")
		heavy.CallerWeight, work.Kind, work.KindWeight = 3, "book", 2
		q.Push(start, heavy)
		q.Push(start, work)
		q.Push(start, requestFrom("light"))
	}
	counts := popCounts(q, 36)
	g.Expect(counts["heavy/lookup"]).To(BeNumerically("~", 18, 1))
	g.Expect(counts["light/book"]).To(BeNumerically("~", 12, 1))
	g.Expect(counts["light/lookup"]).To(BeNumerically("~", 6, 1))
}

// Guards against a caller that catches up on the turns from before it had requests.
func TestNewFlowDoesNotCatchUp(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue(100)
	for range 40 {
		q.Push(start, requestFrom("a"))
	}
	popCounts(q, 20)
	for range 20 {
		q.Push(start, requestFrom("b"))
	}
	g.Expect(popCounts(q, 10)).To(Equal(map[string]int{"a/lookup": 5, "b/lookup": 5}))
}

// Guards against sending a request whose deadline passed.
func TestExpiredRequestsAreDropped(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue(3)
	expiring := requestFrom("a")
	expiring.Deadline = start.Add(time.Second)
	q.Push(start, expiring)
	q.Push(start, requestFrom("a"))
	ticket, expiredTickets := q.Pop(start.Add(time.Second))
	g.Expect(ticket.Request.Deadline.IsZero()).To(BeTrue())
	g.Expect(expiredTickets).To(HaveLen(1))
	_, _, rejection := q.Push(start.Add(2*time.Second), expiring)
	g.Expect(rejection.Reason).To(Equal(ReasonExpired))
}

// Guards against a Retry-After that ignores the queue or the service rate.
func TestRetryAfter(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue(40)
	for i := range 60 {
		q.Push(start, requestFrom("a"))
		if i%3 == 0 {
			q.Pop(start.Add(time.Duration(i) * 100 * time.Millisecond))
		}
	}
	now := start.Add(6 * time.Second)
	_, _, rejection := q.Push(now, requestFrom("a"))
	g.Expect(rejection.RetryAfter).To(BeNumerically("~", 12*time.Second, 2*time.Second))
	g.Expect(q.rejection(now.Add(time.Minute), ReasonFull).RetryAfter).To(Equal(maxRetryAfter))
}

// Guards against counts that drift from the tickets, against exceeding the bound
// and against a ticket that comes out twice.
func TestQueueCountsMatchTickets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now, waiting := NewQueue(5), start, []*Ticket{}
		removeWaiting := func(ticket *Ticket) {
			at := slices.Index(waiting, ticket)
			if ticket != nil && at < 0 {
				t.Fatal("ticket was not waiting")
			}
			if ticket != nil {
				waiting = slices.Delete(waiting, at, at+1)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(10 * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				ticket, expiredTickets := q.Pop(now)
				removeWaiting(ticket)
				for _, e := range expiredTickets {
					removeWaiting(e)
				}
			case 1:
				if len(waiting) > 0 {
					ticket := waiting[len(waiting)/2]
					q.Remove(ticket)
					q.Remove(ticket)
					removeWaiting(ticket)
				}
			default:
				r := requestFrom(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"))
				r.Priority = rapid.IntRange(0, 1).Draw(t, "priority")
				r.Deadline = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
				ticket, evicted, rejection := q.Push(now, r)
				removeWaiting(evicted)
				if (ticket == nil) == (rejection == nil) {
					t.Fatal("neither or both of ticket and refusal")
				}
				if ticket != nil {
					waiting = append(waiting, ticket)
				}
			}
			if q.Len() != len(waiting) || q.Len() > 5 {
				t.Fatalf("%d counted, %d waiting", q.Len(), len(waiting))
			}
		}
	})
}
