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

// countAfter returns the number of times that are later than moment.
func countAfter(times []time.Time, moment time.Time) int {
	return len(slices.DeleteFunc(slices.Clone(times), func(at time.Time) bool { return !at.After(moment) }))
}

// Guards (P8) against requests and load probes to an instance after any of its responses reported
// that it is leaving: complete responses, failures, rejections, truncated responses and responses
// to load probes.
func TestInstanceReportingLeavingReceivesNothing(t *testing.T) {
	for name, faults := range map[string]instance.Faults{
		"responses":                {Leaving: true},
		"failures":                 {Leaving: true, Status: http.StatusInternalServerError},
		"rejections":               {Leaving: true, Reject: true},
		"truncated responses":      {Leaving: true, TruncateResponse: true},
		"responses without a seal": {Leaving: true, Unsealed: true},
		"probe responses of an unhealthy instance": {Leaving: true, Unhealthy: true},
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
			b.g.Expect(countAfter(b.instances[0].Arrivals(), reportedAt)).To(BeZero(), "neither requests nor load probes")
			b.g.Expect(b.records.allAvailabilityChanges()).To(Equal([]forward.Availability{{Leaving: true}}), "reported to the observer once")
		})
	}
}

// Guards against a request in flight that is aborted because its instance reports that it is
// leaving, and against such a report that still applies after the instance has restarted with a new
// incarnation.
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
	b.g.Expect(status).To(Equal(http.StatusServiceUnavailable), "the load probe reports that the instance is leaving")
	b.g.Expect(<-running).To(Equal(http.StatusOK))
	b.instances[0].SetFaults(instance.Faults{})
	b.publish()
	status, _, _ = b.call(http.MethodGet, "/safe/x", "")
	b.g.Expect(status).To(Equal(http.StatusServiceUnavailable), "the same incarnation stays excluded")
	b.targets[0].Incarnation++
	b.publish()
	status, _, _ = b.call(http.MethodGet, "/safe/x", "")
	b.g.Expect(status).To(Equal(http.StatusOK))
}

// Guards against more than two arrivals (requests, load probes and hedged requests of several
// callers on two routes) at an instance between its rejection and the time of its Retry-After; the
// test is stricter and allows none. It also guards against an instance that stays unused after that
// time.
func TestRetryAfterOfInstanceIsHonoured(t *testing.T) {
	for name, faults := range map[string]instance.Faults{
		"rejected request":    {Reject: true, RetryAfter: "1.5"},
		"rejected load probe": {Unhealthy: true, UnhealthyRetryAfter: "1.5"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBalancer(t, 3)
			b.instances[0].SetFaults(faults)
			b.g.Eventually(func() []forward.Availability {
				b.call(http.MethodGet, "/safe/x", "")
				return b.records.allAvailabilityChanges()
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
			b.setFaults(instance.Faults{Unhealthy: true})
			b.instances[0].SetFaults(instance.Faults{})
			b.g.Eventually(func() int {
				b.call(http.MethodGet, "/safe/x", "")
				return len(b.instances[0].Runs())
			}, "5s", "10ms").Should(BeNumerically(">", 0), "it is used again after the time of its Retry-After")
		})
	}
}

// Guards against callers who wait until their deadline, or are told to retry too early, when all
// instances have sent a Retry-After.
func TestRetryAfterOfInstancesReachesCallers(t *testing.T) {
	b := newTestBalancer(t, 2)
	b.setFaults(instance.Faults{Reject: true, RetryAfter: "5"})
	for range 4 {
		b.call(http.MethodPost, "/unsafe/x", "")
	}
	start := time.Now()
	status, _, header := b.call(http.MethodPost, "/unsafe/x", "")
	b.g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	b.g.Expect(time.Since(start)).To(BeNumerically("<", time.Second), "rejected immediately")
	b.g.Expect(b.records.lastRecord().Reason).To(Equal(forward.ReasonBackingOff))
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	b.g.Expect(err).NotTo(HaveOccurred())
	b.g.Expect(seconds).To(And(BeNumerically(">", 3), BeNumerically("<", 7)))
	b.g.Expect(b.runs()).To(BeEmpty())
}

// Guards against the rejection of a request that can still be served in time after the instance's
// Retry-After has passed.
func TestRequestWaitsOutShortRetryAfter(t *testing.T) {
	b := newTestBalancer(t, 1)
	b.instances[0].SetFaults(instance.Faults{Reject: true, RetryAfter: "0.2"})
	b.call(http.MethodPost, "/unsafe/x", "")
	b.instances[0].SetFaults(instance.Faults{})
	status, _, _ := b.call(http.MethodPost, "/unsafe/x", "")
	b.g.Expect(status).To(Equal(http.StatusOK))
}
