package proxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/internal/faultmatrix"
	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/snapshot"
	"github.com/fireflychute/fireflychute/pkg/targets"
	"github.com/fireflychute/fireflychute/pkg/telemetry"
)

// Guards (P5) against a response truncated by the target reaching the caller as complete.
func TestTruncatedResponseAbortsConnection(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.ConnectionClosed, faultmatrix.RequestReadBody)
	g := NewWithT(t)
	n := newTestNode(t, api.WorkKindSpec{}, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		_, _ = io.WriteString(w, "half")
	}, func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).Flush()
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	for range 10 {
		_, _, err := n.call(t.Context(), http.MethodGet, "")
		g.Expect(err).To(HaveOccurred())
	}
}

// Guards (P6) against the outcome not-run for a request that an earlier attempt may have run.
func TestUnknownThenRejectedIsUnknown(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.ConnectionClosed, faultmatrix.RequestWait)
	faultmatrix.Proves(t, faultmatrix.TargetDraining, faultmatrix.RequestReadHeaders)
	g := NewWithT(t)
	var runs atomic.Int32
	once := func(w http.ResponseWriter, r *http.Request) {
		if runs.Add(1) == 1 {
			abortConnection(w, r)
		}
		rejectNotRun(w, r)
	}
	n := newTestNode(t, api.WorkKindSpec{Idempotent: true}, once, once, once)
	response, _, err := n.call(t.Context(), http.MethodGet, "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(runs.Load()).To(Equal(int32(3)))
	g.Expect(response.Header.Get(HeaderOutcome)).To(Equal(OutcomeUnknown))
	g.Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
}

// Guards against failing a request that was not run while another target is free.
func TestNotRunIsRetriedOnAnotherTarget(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.TargetDraining, faultmatrix.RequestChoose, faultmatrix.RequestReadHeaders)
	faultmatrix.Proves(t, faultmatrix.ConnectionClosed, faultmatrix.RequestDial)
	g := NewWithT(t)
	n := newTestNode(t, api.WorkKindSpec{}, rejectNotRun, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Header.Get(HeaderRequestID))
	})
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(closed.Close()).To(Succeed())
	n.add(closed.Addr().String())
	for range 20 {
		response, body, err := n.call(t.Context(), http.MethodPost, "", HeaderRequestID, "q")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.StatusCode).To(Equal(http.StatusOK))
		g.Expect(body).To(Equal("q"))
	}
	g.Expect(n.version.Targets[0].Counters.Leaving.Load()).To(BeTrue())
	for _, target := range n.version.Targets {
		g.Expect(target.Counters.InFlight.Load()).To(BeZero())
	}
}

// Guards (P7) against a second execution of a non-idempotent request, GET included.
func TestNonIdempotentRunsOnce(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.ConnectionClosed, faultmatrix.RequestWait)
	g := NewWithT(t)
	var runs atomic.Int32
	count := func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		abortConnection(w, r)
	}
	n := newTestNode(t, api.WorkKindSpec{}, count, count, count)
	for i, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		response, _, err := n.call(t.Context(), method, "", headerIdempotencyKey, "k")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.Header.Get(HeaderOutcome)).To(Equal(OutcomeUnknown))
		g.Expect(runs.Load()).To(Equal(int32(i + 1)))
	}
}

// Guards (P2) against sending new requests to a target that broke a connection before it is known
// whether the target restarted cold.
func TestNoNewWorkAfterBrokenConnection(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.TargetCold, faultmatrix.RequestChoose)
	g := NewWithT(t)
	var runs atomic.Int32
	n := newTestNode(t, api.WorkKindSpec{}, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		abortConnection(w, r)
	})
	n.version.Targets[0].Counters = &targets.Counters{} // owned by another node
	response, _, err := n.call(t.Context(), http.MethodPost, "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Header.Get(HeaderOutcome)).To(Equal(OutcomeUnknown))
	fixed := time.Now()
	n.now = func() time.Time { return fixed }
	response, _, err = n.call(t.Context(), http.MethodPost, "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Header.Get(HeaderOutcome)).To(Equal(OutcomeNotRun))
	g.Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(runs.Load()).To(Equal(int32(1)))
}

// Guards (P3) against a queued call being sent according to a snapshot that was replaced while the
// call waited for a unit.
func TestQueuedCallUsesLatestSnapshot(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	entered := make(chan struct{})
	var runs atomic.Int32
	n := newTestNode(t, api.WorkKindSpec{}, func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		entered <- struct{}{}
		<-release
	})
	n.version.Targets[0].Units = 1
	outcomes := make(chan string, 2)
	send := func() {
		response, _, err := n.call(t.Context(), http.MethodPost, "")
		if err != nil {
			outcomes <- err.Error()
			return
		}
		outcomes <- response.Header.Get(HeaderOutcome)
	}
	go send()
	<-entered
	go send()
	svcGate := n.gate(n.route.Service)
	g.Eventually(func() int64 { return svcGate.waiting.Load() }).Should(Equal(int64(1)))
	withoutTargets := *n.route
	withoutTargets.Service = &snapshot.Service{Name: "s", Versions: []snapshot.Version{{Name: "v1", Share: 1}}}
	n.options.Published.Store(&snapshot.Snapshot{Revision: 2, Routes: []*snapshot.Route{&withoutTargets}})
	n.NotifyWaiters()
	g.Expect(<-outcomes).To(Equal(OutcomeNotRun))
	close(release)
	g.Expect(<-outcomes).To(BeEmpty())
	g.Expect(runs.Load()).To(Equal(int32(1)))
}

// Guards (P10) against new calls being served by a node that was paused and has since heard neither
// from the platform nor from any other node.
func TestExpiredSnapshotRejectsRequests(t *testing.T) {
	g := NewWithT(t)
	n := newTestNode(t, api.WorkKindSpec{}, func(http.ResponseWriter, *http.Request) {})
	view := *n.options.Published.Load()
	view.Validity = &snapshot.Validity{}
	n.options.Published.Store(&view)
	for _, valid := range []bool{true, false} {
		end := time.Now().Add(-time.Second)
		if valid {
			end = time.Now().Add(time.Hour)
		}
		view.Validity.Extend(end)
		response, _, err := n.call(t.Context(), http.MethodPost, "")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.StatusCode == http.StatusOK).To(Equal(valid))
	}
}

// memoryDeduplicator is an in-memory Deduplicator.
type memoryDeduplicator struct {
	used sync.Map
	err  error
}

func (d *memoryDeduplicator) CreateIfAbsent(_ context.Context, name string) (bool, error) {
	_, used := d.used.LoadOrStore(name, true)
	return !used, d.err
}

// Guards (P7) against running a request again under a used idempotency key, and against sending it
// when the key could not be recorded.
func TestIdempotencyKey(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.PlatformDown, faultmatrix.RequestChoose)
	g := NewWithT(t)
	var runs atomic.Int32
	n := newTestNode(t, api.WorkKindSpec{Deduplicate: true}, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	deduplicator := &memoryDeduplicator{}
	n.options.Deduplicator = deduplicator
	statuses := []int{}
	for range 2 {
		response, _, err := n.call(t.Context(), http.MethodPost, "", headerIdempotencyKey, "k")
		g.Expect(err).NotTo(HaveOccurred())
		statuses = append(statuses, response.StatusCode)
	}
	g.Expect(statuses).To(Equal([]int{http.StatusOK, http.StatusConflict}))
	deduplicator.err = errors.New("platform is down")
	response, _, err := n.call(t.Context(), http.MethodPost, "", headerIdempotencyKey, "other")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(response.Header.Get(HeaderOutcome)).To(Equal(OutcomeNotRun))
	g.Expect(runs.Load()).To(Equal(int32(1)))
	g.Expect(n.version.Targets[0].Counters.InFlight.Load()).To(BeZero())
}

// Guards against retries that multiply along a chain of calls: without HeaderNoRetry, each level
// would retry on top of the retries of the level below.
func TestCallChainDoesNotMultiplyRetries(t *testing.T) {
	g := NewWithT(t)
	var runs [maxDepth]atomic.Int32
	var n *testNode
	serve := func(w http.ResponseWriter, r *http.Request) {
		depth, _ := parseDepth(r.Header)
		runs[depth-1].Add(1)
		if depth == maxDepth {
			abortConnection(w, r)
		}
		response, _, err := n.call(r.Context(), http.MethodGet, "", HeaderDepth, r.Header.Get(HeaderDepth), HeaderNoRetry, r.Header.Get(HeaderNoRetry))
		if err != nil || response.StatusCode != http.StatusOK {
			abortConnection(w, r)
		}
	}
	n = newTestNode(t, api.WorkKindSpec{Idempotent: true}, serve, serve, serve)
	for _, target := range n.version.Targets {
		target.Units = 100
	}
	response, _, err := n.call(t.Context(), http.MethodGet, "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
	for depth := range runs {
		g.Expect(runs[depth].Load()).To(Equal(int32(2)), "depth %d", depth)
	}
	response, _, err = n.call(t.Context(), http.MethodGet, "", HeaderDepth, "13")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Header.Get(HeaderOutcome)).To(Equal(OutcomeNotRun))
}

// Guards against hop-by-hop headers, and headers that only nodes may set, being forwarded in either
// direction.
func TestHeaders(t *testing.T) {
	g := NewWithT(t)
	received := make(chan http.Header, 1)
	n := newTestNode(t, api.WorkKindSpec{}, func(w http.ResponseWriter, r *http.Request) {
		received <- r.Header
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.Header().Set(HeaderNode, "forged")
		w.Header().Set(HeaderOutcome, OutcomeNotRun)
		w.Header().Set("Fireflychute-Trust", "1")
	})
	response, _, err := n.call(t.Context(), http.MethodGet, "", "Connection", "X-Hop", "X-Hop", "1", "Te", "gzip",
		"Fireflychute-Trust", "1", HeaderTimeout, "99999999", HeaderDepth, "3", "X-Kept", "1")
	g.Expect(err).NotTo(HaveOccurred())
	forwarded := <-received
	for _, header := range []http.Header{forwarded, response.Header} {
		g.Expect(header).NotTo(Or(HaveKey("X-Hop"), HaveKey("Te"), HaveKey("Fireflychute-Trust")))
	}
	g.Expect(forwarded).To(And(HaveKeyWithValue("X-Kept", []string{"1"}), HaveKeyWithValue(HeaderDepth, []string{"4"}), HaveKey(HeaderNoRetry)))
	g.Expect(forwarded.Get(HeaderTimeout)).To(HaveLen(5))
	g.Expect(response.Header.Get(HeaderNode)).To(Equal("n1"))
	g.Expect(response.Header).NotTo(HaveKey(HeaderOutcome))
}

// Guards against request smuggling, upgrades and bodies over the limit reaching a target.
func TestRejectedRequests(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked\r\n"
	cases := map[string]struct {
		text   string
		status int
	}{
		"length and chunked": {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n" + chunked + "\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n", 200},
		"two lengths":        {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef", 400},
		"unknown encoding":   {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 501},
		"upgrade":            {"GET / HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n", 501},
		"declared too large": {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n", 413},
		"chunked too large":  {"POST / HTTP/1.1\r\nHost: h\r\n" + chunked + "\r\nb\r\nhello world\r\n0\r\n\r\n", 413},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var runs atomic.Int32
			n := newTestNode(t, api.WorkKindSpec{MaxBodyBytes: 10}, func(w http.ResponseWriter, r *http.Request) {
				_, err := io.Copy(io.Discard, r.Body)
				if err == nil {
					runs.Add(1)
				}
			})
			conn, err := net.Dial("tcp", n.server.Listener.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			_, _ = io.WriteString(conn, c.text)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.StatusCode).To(Equal(c.status))
			if c.status != 200 {
				g.Expect(runs.Load()).To(BeZero())
				return
			}
			g.Expect(response.Close).To(BeTrue())
			g.Expect(runs.Load()).To(Equal(int32(1)))
		})
	}
}

// Guards against more requests in flight at a target than this node has units, lost notifications
// of waiting requests, and units that are not released.
func TestUnitsAreNeverExceeded(t *testing.T) {
	g := NewWithT(t)
	var running, maxRunning atomic.Int32
	n := newTestNode(t, api.WorkKindSpec{}, func(http.ResponseWriter, *http.Request) {
		now := running.Add(1)
		for old := maxRunning.Load(); now > old && !maxRunning.CompareAndSwap(old, now); old = maxRunning.Load() {
		}
		running.Add(-1)
	})
	n.version.Targets[0].Units = 2
	var callers sync.WaitGroup
	var served, rejected atomic.Int32
	for range 16 {
		callers.Go(func() {
			for range 50 {
				response, _, err := n.call(t.Context(), http.MethodGet, "")
				if err == nil && response.StatusCode == http.StatusOK {
					served.Add(1)
				} else {
					rejected.Add(1)
				}
			}
		})
	}
	callers.Wait()
	g.Expect(served.Load()).To(Equal(int32(800)), "rejected %d", rejected.Load())
	g.Expect(maxRunning.Load()).To(BeNumerically("<=", 2))
	g.Expect(n.version.Targets[0].Counters.InFlight.Load()).To(BeZero())
}

// Guards against a full queue delaying requests instead of rejecting them.
func TestFullQueueRejectsImmediately(t *testing.T) {
	g := NewWithT(t)
	entered, proceed := make(chan struct{}), make(chan struct{})
	n := newTestNode(t, api.WorkKindSpec{}, func(http.ResponseWriter, *http.Request) {
		entered <- struct{}{}
		<-proceed
	})
	n.version.Targets[0].Units = 1
	n.Handler.gate(n.route.Service)
	results := make(chan *http.Response)
	for range 1 + minQueue + 1 {
		go func() {
			response, _, _ := n.call(t.Context(), http.MethodGet, "")
			results <- response
		}()
	}
	<-entered
	response := <-results
	g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(response.Header.Get(HeaderOutcome)).To(Equal(OutcomeNotRun))
	g.Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
	go func() {
		for range entered {
		}
	}()
	close(proceed)
	for range 1 + minQueue {
		g.Expect((<-results).StatusCode).To(Equal(http.StatusOK))
	}
	close(entered)
}

// Guards against a request still running at the target after its caller has disconnected.
func TestCancellationReachesTarget(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.TargetSlow, faultmatrix.RequestWait)
	entered, cancelled := make(chan struct{}), make(chan struct{})
	n := newTestNode(t, api.WorkKindSpec{Idempotent: true}, func(_ http.ResponseWriter, r *http.Request) {
		close(entered)
		<-r.Context().Done()
		close(cancelled)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-entered
		cancel()
	}()
	_, _, err := n.call(ctx, http.MethodGet, "")
	NewWithT(t).Expect(err).To(HaveOccurred())
	<-cancelled
}

// Guards (P9) against a planned stop that interrupts a request in flight, and against keep-alive
// connections that stay open.
func TestDrainCompletesInFlightRequests(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.TargetSlow, faultmatrix.StopDrain, faultmatrix.StopClose)
	g := NewWithT(t)
	entered, proceed := make(chan struct{}, 1), make(chan struct{})
	n := newTestNode(t, api.WorkKindSpec{}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			w.Header().Set("Content-Length", "8")
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
			entered <- struct{}{}
			<-proceed
			_, _ = io.WriteString(w, "half")
		}
	})
	conn, err := net.Dial("tcp", n.server.Listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	reader := bufio.NewReader(conn)
	get := func() *http.Response {
		_, _ = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		response, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		return response
	}
	g.Expect(get().Close).To(BeFalse())
	body := make(chan string)
	go func() {
		response, err := http.Get(n.server.URL + "/slow")
		if err != nil {
			body <- err.Error()
			return
		}
		defer response.Body.Close()
		text, _ := io.ReadAll(response.Body)
		body <- string(text)
	}()
	<-entered
	n.Drain()
	g.Expect(get().Close).To(BeTrue())
	stopped := make(chan error, 1)
	go func() { stopped <- n.server.Config.Shutdown(context.Background()) }()
	close(proceed)
	g.Expect(<-body).To(Equal("halfhalf"))
	g.Expect(<-stopped).To(Succeed())
	g.Expect(n.InFlight()).To(BeZero())
}

// Guards against requests being sent to a blocked version.
func TestBlockedVersionReceivesNoRequests(t *testing.T) {
	g := NewWithT(t)
	n := newTestNode(t, api.WorkKindSpec{}, func(http.ResponseWriter, *http.Request) {})
	n.version.Share = 0 // what the control goroutine publishes for a blocked version
	response := httptest.NewRecorder()
	n.ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/", strings.NewReader("")))
	g.Expect(response.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(n.options.Explain.Find(response.Header().Get(HeaderRequestID))).To(HaveLen(1))
}

// Guards against the rejection of a request with an unread body breaking the connection or being
// logged as a panic of the server.
func TestRejectedBodyKeepsConnectionUsable(t *testing.T) {
	g := NewWithT(t)
	n := newTestNode(t, api.WorkKindSpec{})
	var logged bytes.Buffer
	server := httptest.NewUnstartedServer(n.Handler)
	server.Config.ErrorLog = log.New(&logged, "", 0)
	server.Start()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for range 20 {
		_, err = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello")
		g.Expect(err).NotTo(HaveOccurred())
		response, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, response.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		g.Expect(response.ContentLength).To(BeNumerically(">", 0))
	}
	server.Close()
	g.Expect(logged.String()).To(BeEmpty())
}

// Guards against rejections being counted without their reason, or not at all when there is no
// route.
func TestRejectionsAreCountedByReason(t *testing.T) {
	g := NewWithT(t)
	n := newTestNode(t, api.WorkKindSpec{})
	metrics, err := telemetry.New(t.Context(), telemetry.Options{})
	g.Expect(err).NotTo(HaveOccurred())
	n.options.Telemetry = metrics
	_, _, err = n.call(t.Context(), http.MethodGet, "")
	g.Expect(err).NotTo(HaveOccurred())
	n.route.Spec.Methods = []string{http.MethodPut}
	_, _, err = n.call(t.Context(), http.MethodGet, "")
	g.Expect(err).NotTo(HaveOccurred())
	page := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	g.Expect(page.Body.String()).To(MatchRegexp(`refusals_total\{.*reason="no_target",route="r"\} 1`))
	g.Expect(page.Body.String()).To(MatchRegexp(`refusals_total\{.*reason="no_route",route=""\} 1`))
}

// Guards against a request past its deadline being reported as not run or retried.
func TestDeadlineAtTargetIsUnknown(t *testing.T) {
	g := NewWithT(t)
	var runs atomic.Int32
	stall := func(_ http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		<-r.Context().Done()
	}
	n := newTestNode(t, api.WorkKindSpec{Idempotent: true, TimeoutMs: 5000}, stall, stall)
	response, _, err := n.call(t.Context(), http.MethodGet, "", HeaderTimeout, "500")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusGatewayTimeout))
	g.Expect(response.Header.Get(HeaderOutcome)).To(Equal(OutcomeUnknown))
	g.Expect(runs.Load()).To(Equal(int32(1)))
}
