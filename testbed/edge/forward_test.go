package edge

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/callerconn"
	"github.com/fireflychute/fireflychute/pkg/catalog"
	"github.com/fireflychute/fireflychute/pkg/forward"
	"github.com/fireflychute/fireflychute/pkg/quota"
	"github.com/fireflychute/fireflychute/pkg/topology"
	"github.com/fireflychute/fireflychute/pkg/transport"
	"github.com/fireflychute/fireflychute/platform"
	"github.com/fireflychute/fireflychute/testbed/instance"
)

const responseBody = "label text of a batch"

// testBalancer is a handler that balances requests over stand-ins for instances.
type testBalancer struct {
	t         *testing.T
	g         *WithT
	handler   *forward.Handler
	server    *httptest.Server
	published atomic.Pointer[topology.Topology]
	builder   *topology.Builder
	instances []*instance.Instance
	targets   []catalog.Target
	config    *catalog.Configuration
	records   recorder
	lastID    atomic.Int64
}

// recorder is a forward.Observer that stores the records of requests and the availability changes of
// targets.
type recorder struct {
	mu                  sync.Mutex
	records             []forward.Record
	availabilityChanges []forward.Availability
}

func (r *recorder) Probed(forward.Probe) {}

func (r *recorder) LimitIgnored(string, quota.Statement) {}

func (r *recorder) AvailabilityChanged(target string, availability forward.Availability) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.availabilityChanges = append(r.availabilityChanges, availability)
}

func (r *recorder) SlowAttempt(*forward.Record, *forward.Attempt) {}

func (r *recorder) Ended(record *forward.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, *record)
}

func (r *recorder) allAvailabilityChanges() []forward.Availability {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.availabilityChanges)
}

func (r *recorder) lastRecord() forward.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.records[len(r.records)-1]
}

func (r *recorder) allRecords() []forward.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.records)
}

// noPeers stands for the other nodes of a fleet of one.
type noPeers struct{}

func (noPeers) Ask(context.Context, quota.Node, quota.Ask) (quota.Reply, error) {
	return quota.Reply{}, errors.New("no such node")
}

func newTestBalancer(t *testing.T, count int) *testBalancer {
	b := &testBalancer{t: t, g: NewWithT(t), builder: topology.NewBuilder("n1", "dc1", nil)}
	route := func(name string, idempotent bool, timeout time.Duration) catalog.Route {
		return catalog.Route{
			Name: name, Host: "h.example", Prefix: "/" + name + "/", Idempotent: idempotent, Timeout: timeout,
			Objective: 600 * time.Millisecond, Attempts: 2, Priority: 2, Parts: []catalog.Part{{Service: "s", Weight: 1}},
		}
	}
	b.config = &catalog.Configuration{
		Version:  7,
		Services: map[string]catalog.Service{"s": {Name: "s", HealthPath: "/health", MaxConnections: 100, WarmupRate: 1}},
		Routes: []catalog.Route{
			route("safe", true, 10*time.Second), route("unsafe", false, 10*time.Second), route("short", true, 300*time.Millisecond),
			route("unsafe-short", false, 300*time.Millisecond),
		},
		Limits: catalog.Limits{MaxBodyBytes: 1000},
	}
	for i := range count {
		started, err := instance.Start(instance.Options{ID: "i-" + strconv.Itoa(i), Slots: 6, ServiceTime: time.Millisecond, ResponseBody: responseBody})
		b.g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(started.Stop)
		b.instances = append(b.instances, started)
		b.targets = append(b.targets, catalog.Target{ID: started.ID(), Address: started.Address(), Service: "s", Version: "v1", DataCentre: "dc1", Slots: 6})
	}
	limits := quota.NewTable(func(quota.Change) {})
	units := quota.NewAllocator("n1", limits, noPeers{})
	units.SetNodes([]quota.Node{{Name: "n1"}})
	b.handler = forward.NewHandler(forward.Options{
		Published: &b.published, Client: transport.NewClient(), Protocol: platform.Protocol{}, Observer: &b.records,
		Limits: limits, Units: units,
		RetryRatio: 0.2, RetryExtra: 64, RetryWindow: 10 * time.Second, Random: rand.NewPCG(1, 2),
	})
	b.publish()
	b.server = httptest.NewUnstartedServer(b.handler)
	b.server.Listener = callerconn.Listener(b.server.Listener)
	b.server.Config.ConnContext = callerconn.ConnContext
	b.server.Config.MaxHeaderBytes = 64 << 10
	b.server.Start()
	t.Cleanup(b.server.Close)
	return b
}

func (b *testBalancer) publish() {
	b.published.Store(b.builder.Build(topology.Input{Now: time.Now(), Configuration: b.config, Targets: b.targets, Nodes: []catalog.Node{{Name: "n1", DataCentre: "dc1"}}}))
}

// setFaults sets the faults of all instances.
func (b *testBalancer) setFaults(faults instance.Faults) {
	for _, i := range b.instances {
		i.SetFaults(faults)
	}
}

func (b *testBalancer) runs() []instance.Run {
	var all []instance.Run
	for _, i := range b.instances {
		all = append(all, i.Runs()...)
	}
	return all
}

func (b *testBalancer) request(ctx context.Context, method, path, body string) *http.Request {
	request, err := http.NewRequestWithContext(ctx, method, b.server.URL+path, strings.NewReader(body))
	b.g.Expect(err).NotTo(HaveOccurred())
	request.Host = "h.example"
	request.Header.Set("Fireflychute-Request-Id", "r"+strconv.FormatInt(b.lastID.Add(1), 10))
	request.Header.Set("Fireflychute-Deadline-Ms", "8000")
	return request
}

// call sends a request and returns the status, the body and the headers of the response.
func (b *testBalancer) call(method, path, body string) (int, string, http.Header) {
	response, err := http.DefaultClient.Do(b.request(context.Background(), method, path, body))
	b.g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	b.g.Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(data), response.Header
}

// Guards (P5) against a response that differs from the instance's, and against a request that
// reaches the instance modified.
func TestRequestAndResponsePassUnchanged(t *testing.T) {
	b := newTestBalancer(t, 1)
	status, text, header := b.call(http.MethodPost, "/unsafe/a%2Fb/?q=1&q=2", "sign-off")
	b.g.Expect(status).To(Equal(http.StatusOK))
	b.g.Expect(text).To(Equal(responseBody))
	run := b.runs()[0]
	b.g.Expect(run.Path).To(Equal("/unsafe/a%2Fb/?q=1&q=2"))
	b.g.Expect(run.Body).To(Equal("sign-off"))
	b.g.Expect(run.Method).To(Equal(http.MethodPost))
	b.g.Expect(header.Get("Fireflychute-Response-Seal")).To(Equal(instance.Seal(run.RequestID, responseBody)))
}

// Guards (P7, P6) against a non-idempotent request that is executed twice, and against a response
// that reports it as not run although it may have been executed.
func TestUnsafeRequestRunsOnce(t *testing.T) {
	for name, c := range map[string]struct {
		faults instance.Faults
		status int
	}{
		"response lost":               {instance.Faults{DropResponse: true}, http.StatusBadGateway},
		"response truncated":          {instance.Faults{TruncateResponse: true}, http.StatusBadGateway},
		"response of another request": {instance.Faults{WrongRequestID: true}, http.StatusBadGateway},
		"response without a seal":     {instance.Faults{Unsealed: true}, http.StatusBadGateway},
		"503 after execution":         {instance.Faults{Status: 503}, http.StatusBadGateway},
		"429 after execution":         {instance.Faults{Status: 429}, http.StatusBadGateway},
		"500 after execution":         {instance.Faults{Status: 500}, http.StatusInternalServerError},
		"no response in time":         {instance.Faults{Hang: true}, http.StatusGatewayTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBalancer(t, 4)
			b.setFaults(c.faults)
			status, _, _ := b.call(http.MethodPost, "/unsafe-short/x", "")
			b.g.Expect(status).To(Equal(c.status))
			b.g.Expect(b.runs()).To(HaveLen(1))
		})
	}
}

// Guards against an idempotent request that fails although another target could have served it.
func TestSafeRequestIsRetriedOnAnotherTarget(t *testing.T) {
	for name, faults := range map[string]instance.Faults{
		"response lost":               {DropResponse: true},
		"response truncated":          {TruncateResponse: true},
		"response of another request": {WrongRequestID: true},
		"response without a seal":     {Unsealed: true},
		"status 500":                  {Status: 500},
		"rejected":                    {Reject: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBalancer(t, 2)
			b.instances[0].SetFaults(faults)
			for range 8 {
				status, text, _ := b.call(http.MethodGet, "/safe/x", "")
				b.g.Expect(status).To(Equal(http.StatusOK))
				b.g.Expect(text).To(Equal(responseBody))
			}
		})
	}
}

// Guards against a slow attempt that is not recorded when a hedged request overtakes it: a version
// that responds late to half of its requests would look as fast as the current version.
func TestOvertakenAttemptIsRecorded(t *testing.T) {
	b := newTestBalancer(t, 2)
	b.instances[0].SetFaults(instance.Faults{Hang: true})
	b.g.Eventually(func() int {
		_, _, _ = b.call(http.MethodGet, "/safe/x", "")
		return len(b.records.lastRecord().Attempts)
	}, "10s").Should(Equal(2))
	attempts := b.records.lastRecord().Attempts
	b.g.Expect(attempts[0].Target).To(Equal(b.instances[0].ID()))
	b.g.Expect(attempts[0].Superseded).To(BeTrue())
	b.g.Expect(attempts[0].Failed).To(BeFalse(), "the target may have been about to respond")
	b.g.Expect(attempts[0].Latency).To(BeNumerically(">", attempts[1].Latency))
	b.g.Expect(attempts[1].Status).To(Equal(http.StatusOK))
}

// Guards against attempts beyond the limit of the route, and beyond the retry budget.
func TestRetriesStayWithinAttemptsAndBudget(t *testing.T) {
	b := newTestBalancer(t, 5)
	b.setFaults(instance.Faults{DropResponse: true})
	status, _, _ := b.call(http.MethodGet, "/safe/x", "")
	b.g.Expect(status).To(Equal(http.StatusBadGateway))
	b.g.Expect(b.runs()).To(HaveLen(2))
	b.g.Expect(b.records.lastRecord().Reason).To(Equal(forward.ReasonAttempts))
	for range 100 {
		b.call(http.MethodGet, "/safe/x", "")
	}
	b.g.Expect(len(b.runs()) - 101).To(BeNumerically("<=", 64+21))
}

// Guards (P6) against a rejected request that was executed nevertheless, and against callers that
// learn neither that the request was not run nor when to retry.
func TestRequestRejectedByAllTargetsIsNotRun(t *testing.T) {
	b := newTestBalancer(t, 3)
	b.setFaults(instance.Faults{Reject: true})
	status, _, header := b.call(http.MethodPost, "/unsafe/x", "")
	b.g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	retryAfter, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	b.g.Expect(err).NotTo(HaveOccurred())
	b.g.Expect(retryAfter).To(BeNumerically(">", 0))
	b.g.Expect(b.runs()).To(BeEmpty())
}

// Guards against requests to an instance that took over the address of another.
func TestAddressOfAnotherInstance(t *testing.T) {
	b := newTestBalancer(t, 2)
	b.targets[0].ID = "i-gone"
	b.publish()
	for range 5 {
		status, _, _ := b.call(http.MethodPost, "/unsafe/x", "")
		b.g.Expect(status).To(Equal(http.StatusOK))
	}
	b.g.Expect(b.instances[0].Runs()).To(BeEmpty())
	b.g.Expect(b.instances[0].Probes()).To(Equal(1), "it is not probed again")
}

// Guards against crashed or unresponsive instances that fail or noticeably delay requests.
func TestDeadInstancesAreAvoided(t *testing.T) {
	b := newTestBalancer(t, 3)
	b.instances[0].Stop()
	b.instances[1].SetFaults(instance.Faults{SilentProbes: true})
	for range 10 {
		status, _, _ := b.call(http.MethodPost, "/unsafe/x", "")
		b.g.Expect(status).To(Equal(http.StatusOK))
	}
	b.g.Expect(b.instances[2].Runs()).To(HaveLen(10))
}

// Guards against the use of targets that report themselves unhealthy while others are healthy, and
// against rejecting requests when all targets are unhealthy.
func TestUnhealthyInstancesAreTheLastResort(t *testing.T) {
	b := newTestBalancer(t, 2)
	b.instances[0].SetFaults(instance.Faults{Unhealthy: true})
	for range 6 {
		b.call(http.MethodGet, "/safe/x", "")
	}
	b.g.Expect(b.instances[0].Runs()).To(BeEmpty())
	b.setFaults(instance.Faults{Unhealthy: true})
	status, _, _ := b.call(http.MethodGet, "/safe/x", "")
	b.g.Expect(status).To(Equal(http.StatusOK))
}

// Guards (P2) against a target that is cold again and receives more than its warm-up rate allows.
func TestColdInstanceIsLimitedToWarmupRate(t *testing.T) {
	b := newTestBalancer(t, 2)
	b.instances[0].SetCold(time.Minute)
	for range 30 {
		status, _, _ := b.call(http.MethodGet, "/safe/x", "")
		b.g.Expect(status).To(Equal(http.StatusOK))
	}
	b.g.Expect(len(b.instances[0].Runs())).To(BeNumerically("<=", 2))
}

// Guards (P2) against a cold target that receives more than its warm-up rate allows because no
// other target is available. The warm-up rate of the test service is one request per second.
func TestOnlyInstanceIsLimitedToWarmupRateWhileCold(t *testing.T) {
	b := newTestBalancer(t, 1)
	b.instances[0].SetCold(time.Minute)
	start := time.Now()
	for range 30 {
		status, _, _ := b.call(http.MethodGet, "/safe/x", "")
		b.g.Expect(status).To(BeElementOf(http.StatusOK, http.StatusServiceUnavailable))
	}
	b.g.Expect(float64(len(b.instances[0].Runs()))).To(BeNumerically("<=", 1+time.Since(start).Seconds()))
}

// Guards against requests that wait until their deadline although the node can reject them
// immediately.
func TestImmediateRejections(t *testing.T) {
	b := newTestBalancer(t, 1)
	for path, want := range map[string]int{"/none/x": http.StatusNotFound, "/safe": http.StatusNotFound} {
		status, _, _ := b.call(http.MethodGet, path, "")
		b.g.Expect(status).To(Equal(want))
	}
	status, _, _ := b.call(http.MethodPost, "/unsafe/x", strings.Repeat("x", 1001))
	b.g.Expect(status).To(Equal(http.StatusRequestEntityTooLarge))
	b.targets = nil
	b.publish()
	status, _, _ = b.call(http.MethodGet, "/safe/x", "")
	b.g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	b.published.Store(nil)
	status, _, _ = b.call(http.MethodGet, "/safe/x", "")
	b.g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	b.g.Expect(b.records.lastRecord().Reason).To(Equal(forward.ReasonNoConfiguration))
}

// Guards against a request that outlasts the timeout of its route.
func TestRouteTimeout(t *testing.T) {
	b := newTestBalancer(t, 1)
	b.setFaults(instance.Faults{Hang: true})
	status, _, _ := b.call(http.MethodGet, "/short/x", "")
	b.g.Expect(status).To(Equal(http.StatusGatewayTimeout))
}

// Guards against an attempt that keeps running after its caller has disconnected.
func TestCallerDisconnectCancelsRequest(t *testing.T) {
	b := newTestBalancer(t, 1)
	b.setFaults(instance.Faults{Hang: true})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		response, err := http.DefaultClient.Do(b.request(ctx, http.MethodGet, "/safe/x", ""))
		if err == nil {
			response.Body.Close()
		}
	}()
	b.g.Eventually(b.runs).Should(HaveLen(1))
	cancel()
	<-done
	b.g.Eventually(b.handler.InFlight).Should(BeZero())
}

// Guards against callers who set headers that only the node may set.
func TestCallersCannotSetTheNodesHeaders(t *testing.T) {
	b := newTestBalancer(t, 1)
	request := b.request(context.Background(), http.MethodGet, "/safe/x", "")
	request.Header.Set("Fireflychute-Target-Instance", "i-other")
	response, err := http.DefaultClient.Do(request)
	b.g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	b.g.Expect(response.StatusCode).To(Equal(http.StatusOK))
}

// Guards against a new connection to an instance for each of several consecutive requests.
func TestConnectionsToInstancesAreReused(t *testing.T) {
	b := newTestBalancer(t, 2)
	for range 50 {
		b.call(http.MethodGet, "/safe/x", "")
	}
	b.g.Expect(b.instances[0].Dials() + b.instances[1].Dials()).To(BeNumerically("<=", 6))
}

// newSingleSlotBalancer returns a handler with one instance that has one slot.
func newSingleSlotBalancer(t *testing.T, serviceTime time.Duration) (*testBalancer, *instance.Instance) {
	b := newTestBalancer(t, 0)
	started, err := instance.Start(instance.Options{ID: "i-1", Slots: 1, ServiceTime: serviceTime, ResponseBody: responseBody})
	b.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(started.Stop)
	b.targets = []catalog.Target{{ID: "i-1", Address: started.Address(), Service: "s", Version: "v1", DataCentre: "dc1", Slots: 1}}
	b.publish()
	return b, started
}

// Guards against a request that is rejected although a slot becomes free in time, and against one
// that waits although its response would miss the objective.
func TestRequestWaitsForSlotWithinObjective(t *testing.T) {
	const serviceTime = 150 * time.Millisecond // a quarter of the objective
	b, started := newSingleSlotBalancer(t, serviceTime)
	status, _, _ := b.call(http.MethodPost, "/unsafe/1", "x")
	b.g.Expect(status).To(Equal(http.StatusOK))
	statuses := make(chan int, 8)
	for i := range 8 {
		time.Sleep(time.Millisecond)
		go func() {
			code, _, _ := b.call(http.MethodPost, "/unsafe/"+strconv.Itoa(i), "x")
			statuses <- code
		}()
	}
	counts := map[int]int{}
	for range 8 {
		counts[<-statuses]++
	}
	b.g.Expect(counts[http.StatusOK]).To(BeNumerically(">=", 2), "three service times fit into the objective")
	b.g.Expect(counts[http.StatusServiceUnavailable]).To(Equal(8-counts[http.StatusOK]), "the others are rejected")
	b.g.Expect(started.Runs()).To(HaveLen(1+counts[http.StatusOK]), "rejected requests have not run")
	for _, record := range b.records.allRecords() {
		if record.Status == http.StatusServiceUnavailable {
			b.g.Expect(record.Attempts).To(BeEmpty())
		}
	}
}

// Guards against a waiting request that is sent to a target after its caller has disconnected.
func TestWaitingRequestEndsWithItsCaller(t *testing.T) {
	const serviceTime = 200 * time.Millisecond
	b, started := newSingleSlotBalancer(t, serviceTime)
	running := make(chan int, 1)
	go func() {
		code, _, _ := b.call(http.MethodPost, "/unsafe/1", "x")
		running <- code
	}()
	b.g.Eventually(func() int { return len(started.Runs()) }, "2s", "1ms").Should(Equal(1))
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := http.DefaultClient.Do(b.request(ctx, http.MethodPost, "/unsafe/2", "x"))
	b.g.Expect(err).To(HaveOccurred())
	b.g.Eventually(b.handler.InFlight, "2s", "1ms").Should(BeNumerically("<=", 1))
	b.g.Expect(<-running).To(Equal(http.StatusOK))
	time.Sleep(2 * serviceTime)
	b.g.Expect(started.Runs()).To(HaveLen(1))
}
