package edge

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/testbed/instance"
)

// Guards against anything that reaches a limited instance without counting towards its limit: first
// attempts, retries, hedges and load probes.
func TestEverySendCountsTowardsTheLimit(t *testing.T) {
	const limit = 4
	for name, others := range map[string]struct {
		faults      instance.Faults
		serviceTime time.Duration
	}{
		"first attempts and load probes": {},
		"retries after failures":         {faults: instance.Faults{Status: http.StatusInternalServerError}},
		"retries after rejections":       {faults: instance.Faults{Reject: true}},
		"hedges":                         {serviceTime: 700 * time.Millisecond},
		"probes of silent instances":     {faults: instance.Faults{SilentProbes: true}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBalancer(t, 3)
			limited := b.instances[0]
			limited.NameLimit("4")
			for _, other := range b.instances[1:] {
				other.SetFaults(others.faults)
				other.SetServiceTime(others.serviceTime)
			}
			b.g.Eventually(func() int {
				b.call(http.MethodGet, "/safe/x", "")
				return len(limited.Arrivals())
			}, "5s", "1ms").Should(BeNumerically(">", 0))
			from := time.Now()
			const length = 3 * time.Second
			var callers sync.WaitGroup
			for range 6 {
				callers.Go(func() {
					for time.Since(from) < length {
						b.call(http.MethodGet, "/safe/x", "")
						time.Sleep(10 * time.Millisecond)
					}
				})
			}
			callers.Wait()
			received := countAfter(limited.Arrivals(), from)
			b.g.Expect(received).To(BeNumerically("<=", limit*length.Seconds()+1))
			b.g.Expect(received).To(BeNumerically(">=", limit*length.Seconds()/3), "the limit is used")
		})
	}
}

// Guards against a request that waits until its deadline, or whose caller is sent back too early or
// without a time, when the limits of all instances are used up.
func TestRequestsBeyondTheLimitAreRejectedAtOnce(t *testing.T) {
	b := newTestBalancer(t, 2)
	for _, i := range b.instances {
		i.NameLimit("0.5")
	}
	b.call(http.MethodGet, "/safe/x", "")
	b.call(http.MethodGet, "/safe/x", "")
	runs := len(b.runs())
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		path := map[string]string{http.MethodGet: "/safe/x", http.MethodPost: "/unsafe/x"}[method]
		sentAt := time.Now()
		status, _, header := b.call(method, path, "")
		b.g.Expect(status).To(Equal(http.StatusServiceUnavailable))
		b.g.Expect(time.Since(sentAt)).To(BeNumerically("<", 200*time.Millisecond))
		seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
		b.g.Expect(err).NotTo(HaveOccurred())
		b.g.Expect(seconds).To(BeNumerically(">=", 1), "the limits allow less than a request per second")
	}
	b.g.Expect(b.runs()).To(HaveLen(runs))
	b.g.Expect(b.records.lastRecord().Reason).To(Equal("limits of all targets are used up"))
}

// Guards against a caller that is sent back before a cold instance, the only one, takes a request
// again.
func TestRejectionTellsWhenAColdInstanceHasRoom(t *testing.T) {
	b := newTestBalancer(t, 1)
	b.instances[0].SetCold(time.Minute)
	var last http.Header
	for range 8 {
		var status int
		status, _, last = b.call(http.MethodGet, "/short/x", "")
		if status == http.StatusOK {
			last = nil
		}
	}
	seconds, err := strconv.ParseFloat(last.Get("Retry-After"), 64)
	b.g.Expect(err).NotTo(HaveOccurred())
	b.g.Expect(seconds).To(BeNumerically(">", 0.7), "it tolerates one request per second")
}

// Guards against a limit that only the node knows that heard it from the instance.
func TestLimitReachesNodesThatHaveNotHeardIt(t *testing.T) {
	w := newCluster(t, 3, 2)
	w.start()
	limited := w.instances[0]
	limited.NameLimit("0.5")
	arrived := len(limited.Arrivals())
	w.g.Eventually(func() int {
		w.call(w.nodes[0])
		return len(limited.Arrivals())
	}, "5s", "1ms").Should(BeNumerically(">", arrived))
	time.Sleep(1500 * time.Millisecond)
	from := time.Now()
	for range 20 {
		for _, n := range w.nodes[1:] {
			w.g.Expect(w.call(n)).To(Equal(http.StatusOK))
		}
	}
	w.g.Expect(time.Since(from)).To(BeNumerically("<", 2*time.Second))
	w.g.Expect(countAfter(limited.Arrivals(), from)).To(BeNumerically("<=", 2), "half a request per second, and one that was left")
}

// Guards against a limit that outlives the incarnation of the instance that named it.
func TestLimitEndsWithIncarnation(t *testing.T) {
	b := newTestBalancer(t, 1)
	b.instances[0].NameLimit("0.1")
	b.call(http.MethodGet, "/safe/x", "")
	status, _, _ := b.call(http.MethodGet, "/safe/x", "")
	b.g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	b.instances[0].NameLimit("")
	b.targets[0].Incarnation++
	b.publish()
	status, _, _ = b.call(http.MethodGet, "/safe/x", "")
	b.g.Expect(status).To(Equal(http.StatusOK))
}
