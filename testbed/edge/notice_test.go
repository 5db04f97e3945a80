package edge

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/forward"
	"github.com/fireflychute/fireflychute/testbed/instance"
)

// countAfter counts the times that are later than a moment.
func countAfter(times []time.Time, moment time.Time) int {
	return len(slices.DeleteFunc(slices.Clone(times), func(at time.Time) bool { return !at.After(moment) }))
}

// Guards (P8) against requests to an instance after any of its answers said that it leaves:
// whole answers, failures, refusals, answers that break off and load questions.
func TestInstanceReportingLeavingReceivesNothing(t *testing.T) {
	for name, faults := range map[string]instance.Faults{
		"answers":                         {Leaving: true},
		"failures":                        {Leaving: true, Status: http.StatusInternalServerError},
		"refusals":                        {Leaving: true, Refuse: true},
		"broken answers":                  {Leaving: true, Short: true},
		"no signature":                    {Leaving: true, Unsealed: true},
		"health, while it says it is ill": {Leaving: true, Ill: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBalancer(t, 3)
			b.instances[0].SetFaults(faults)
			for range 20 {
				b.call(http.MethodGet, "/safe/x", "")
			}
			reportedAt := time.Now()
			for range 20 {
				status, _, _ := b.call(http.MethodPost, "/unsafe/x", "")
				b.g.Expect(status).To(Equal(http.StatusOK))
			}
			b.g.Expect(countAfter(b.instances[0].Arrivals(), reportedAt)).To(BeZero(), "neither requests nor questions")
			b.g.Expect(b.records.allNotices()).To(Equal([]forward.Availability{{Leaving: true}}), "told once")
		})
	}
}

// Guards against a notice of leaving that cuts off a request which the instance still runs, and
// against one that outlasts the instance's next start.
func TestLeavingStateEndsWithIncarnation(t *testing.T) {
	b := newTestBalancer(t, 1)
	b.instances[0].SetServiceTime(300 * time.Millisecond)
	running := make(chan int, 1)
	go func() {
		status, _, _ := b.call(http.MethodPost, "/unsafe/x", "")
		running <- status
	}()
	b.g.Eventually(func() int { return len(b.runs()) }, "5s", "5ms").Should(Equal(1))
	b.instances[0].SetFaults(instance.Faults{Leaving: true})
	status, _, _ := b.call(http.MethodGet, "/safe/x", "")
	b.g.Expect(status).To(Equal(http.StatusServiceUnavailable), "a load question tells that it leaves")
	b.g.Expect(<-running).To(Equal(http.StatusOK))
	b.instances[0].SetFaults(instance.Faults{})
	b.publish()
	status, _, _ = b.call(http.MethodGet, "/safe/x", "")
	b.g.Expect(status).To(Equal(http.StatusServiceUnavailable), "the same start stays left")
	b.targets[0].Incarnation++
	b.publish()
	status, _, _ = b.call(http.MethodGet, "/safe/x", "")
	b.g.Expect(status).To(Equal(http.StatusOK))
}

// Guards against more than two arrivals, of requests, questions and second sends of several
// callers on two routes, at an instance that turned one away until a later time.
func TestRetryAfterOfInstanceIsHonoured(t *testing.T) {
	for name, faults := range map[string]instance.Faults{
		"refused request":  {Refuse: true, RetryAfter: "1.5"},
		"refused question": {Ill: true, IllRetryAfter: "1.5"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBalancer(t, 3)
			b.instances[0].SetFaults(faults)
			b.g.Eventually(func() []forward.Availability {
				b.call(http.MethodGet, "/safe/x", "")
				return b.records.allNotices()
			}, "5s", "1ms").Should(HaveLen(1))
			arrivals := b.instances[0].Arrivals()
			rejectedAt := arrivals[len(arrivals)-1]
			var callers sync.WaitGroup
			for caller := range 4 {
				callers.Go(func() {
					for time.Since(rejectedAt) < 1400*time.Millisecond {
						path, method := "/safe/x", http.MethodGet
						if caller%2 == 0 {
							path, method = "/unsafe/x", http.MethodPost
						}
						b.call(method, path, "")
						time.Sleep(10 * time.Millisecond)
					}
				})
			}
			callers.Wait()
			b.g.Expect(countAfter(b.instances[0].Arrivals(), rejectedAt)).To(BeZero())
			b.setFaults(instance.Faults{Ill: true})
			b.instances[0].SetFaults(instance.Faults{})
			b.g.Eventually(func() int {
				b.call(http.MethodGet, "/safe/x", "")
				return len(b.instances[0].Runs())
			}, "5s", "10ms").Should(BeNumerically(">", 0), "it is used again after the time")
		})
	}
}

// Guards against callers who wait for their deadline, or are told to come back too early, when
// every instance wants nothing for a time.
func TestRetryAfterOfInstancesReachesCallers(t *testing.T) {
	b := newTestBalancer(t, 2)
	b.setFaults(instance.Faults{Refuse: true, RetryAfter: "5"})
	for range 4 {
		b.call(http.MethodPost, "/unsafe/x", "")
	}
	start := time.Now()
	status, _, header := b.call(http.MethodPost, "/unsafe/x", "")
	b.g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	b.g.Expect(time.Since(start)).To(BeNumerically("<", time.Second), "refused at once")
	b.g.Expect(b.records.lastRecord().Reason).To(Equal(forward.ReasonBackingOff))
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	b.g.Expect(err).NotTo(HaveOccurred())
	b.g.Expect(seconds).To(And(BeNumerically(">", 3), BeNumerically("<", 7)))
	b.g.Expect(b.runs()).To(BeEmpty())
}

// Guards against a refusal where the request can be in time once the instance takes requests.
func TestRequestWaitsOutShortRetryAfter(t *testing.T) {
	b := newTestBalancer(t, 1)
	b.instances[0].SetFaults(instance.Faults{Refuse: true, RetryAfter: "0.2"})
	b.call(http.MethodPost, "/unsafe/x", "")
	b.instances[0].SetFaults(instance.Faults{})
	status, _, _ := b.call(http.MethodPost, "/unsafe/x", "")
	b.g.Expect(status).To(Equal(http.StatusOK))
}
