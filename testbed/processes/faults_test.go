package processes

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/internal/faultmatrix"
)

// outcomes holds the outcomes of requests as their callers see them; mu guards all fields.
type outcomes struct {
	mu           sync.Mutex
	served       map[string]bool
	notRun       map[string]bool
	unknown      int
	dialFailures int // no connection to the node was established
	aborted      []string
	mismatched   []string
}

// load is a load generator that sends non-idempotent requests until it is stopped.
type load struct {
	outcomes
	w       *cluster
	stopped chan struct{}
	senders sync.WaitGroup
	sent    atomic.Int64
}

const senders = 6

// startLoad starts sending requests to the nodes. Each request has a unique id, which starts with
// label.
func (c *cluster) startLoad(label string, nodes ...int) *load {
	l := &load{w: c, stopped: make(chan struct{})}
	l.served, l.notRun = map[string]bool{}, map[string]bool{}
	for sender := range senders {
		l.senders.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-l.stopped:
					return
				default:
					l.send(nodes[(sender+n)%len(nodes)], fmt.Sprintf("%s-%d-%d", label, sender, n))
				}
			}
		})
	}
	return l
}

func (l *load) send(node int, id string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+callerAddress(node)+"/orders/"+id, strings.NewReader("order"))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Fireflychute-Request-Id", id)
	response, err := l.w.client.Do(request)
	l.sent.Add(1)
	if err != nil {
		l.recordError(id, err)
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		l.aborted = append(l.aborted, id+": "+err.Error())
	case response.StatusCode == 200 && !strings.HasPrefix(string(body), id+" "):
		l.mismatched = append(l.mismatched, id+": "+string(body))
	case response.StatusCode == 200:
		l.served[id] = true
	case response.Header.Get("Fireflychute-Outcome") == "not-run":
		l.notRun[id] = true
	default:
		l.unknown++
	}
}

func (l *load) recordError(id string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		l.dialFailures++
		return
	}
	l.aborted = append(l.aborted, id+": "+err.Error())
}

// awaitRequests waits until count more requests have completed or failed.
func (l *load) awaitRequests(count int64) {
	l.w.t.Helper()
	until := l.sent.Load() + count
	l.w.await("requests to end", func() bool { return l.sent.Load() >= until })
}

func (l *load) stop() {
	close(l.stopped)
	l.senders.Wait()
}

// checkExecutions fails the test if a target executed a request twice, if a request was executed
// although it was reported to its caller as not run, or if a caller received the response of
// another request.
func (l *load) checkExecutions(targets ...int) {
	executions := map[string]int{}
	for _, i := range targets {
		for id, count := range l.w.targetStats(i).Executions {
			executions[id] += count
		}
	}
	executedTwice, executedNotRun := []string{}, []string{}
	for id, count := range executions {
		if count > 1 {
			executedTwice = append(executedTwice, id)
		}
		if l.notRun[id] {
			executedNotRun = append(executedNotRun, id)
		}
	}
	l.w.t.Logf("served %d, not run %d, unknown %d, aborted %d, dial failures %d", len(l.served), len(l.notRun), l.unknown, len(l.aborted), l.dialFailures)
	l.w.Expect(executedTwice).To(BeEmpty(), "requests executed twice")
	l.w.Expect(executedNotRun).To(BeEmpty(), "requests reported as not run, but executed")
	l.w.Expect(l.mismatched).To(BeEmpty(), "responses of other requests")
	l.w.Expect(l.served).NotTo(BeEmpty())
}

func allTargets() []string {
	return []string{targetAddress(0), targetAddress(1), targetAddress(2)}
}

// Guards against a request that is executed twice, or is executed although it was reported as not
// run, when a target is paused, resumed, killed and started again.
func TestTargetStoppedAndKilled(t *testing.T) {
	w := newCluster(t, allTargets())
	faultmatrix.Proves(t, faultmatrix.TargetCutOff, faultmatrix.RequestDial, faultmatrix.RequestWait)
	l := w.startLoad("a", 0, 1, 2)
	l.awaitRequests(200)
	w.targets[0].signal(syscall.SIGSTOP)
	l.awaitRequests(100)
	time.Sleep(4 * time.Second) // longer than the deadline of the waiting requests
	w.targets[0].signal(syscall.SIGCONT)
	l.awaitRequests(200)
	l.stop()
	l.checkExecutions(0, 1, 2)

	l = w.startLoad("b", 0, 1, 2)
	l.awaitRequests(100)
	w.targets[1].kill()
	l.awaitRequests(200)
	w.targets[1] = w.startTarget(1)
	l.awaitRequests(200)
	l.stop()
	l.checkExecutions(0, 1, 2)
}

// cuttingProxy forwards connections to a target and cuts two out of three of them after some bytes.
type cuttingProxy struct {
	listener     net.Listener
	target       string
	connections  atomic.Int64
	cutResponses atomic.Int64 // connections that are cut while a response is forwarded
}

func startCuttingProxy(w *cluster, i int) *cuttingProxy {
	listener, err := net.Listen("tcp", address(5, i))
	w.Expect(err).NotTo(HaveOccurred())
	c := &cuttingProxy{listener: listener, target: targetAddress(i)}
	w.t.Cleanup(func() { _ = listener.Close() })
	go c.accept()
	return c
}

func (c *cuttingProxy) accept() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		go c.serve(conn)
	}
}

// serve cuts 1 connection in 3 after a part of the request bytes, 1 in 3 after a part of the
// response bytes, and forwards the others without a cut.
func (c *cuttingProxy) serve(conn net.Conn) {
	n := c.connections.Add(1)
	if n%3 == 1 {
		c.cutResponses.Add(1)
	}
	defer conn.Close()
	target, err := net.Dial("tcp", c.target)
	if err != nil {
		return
	}
	defer target.Close()
	ended := make(chan struct{}, 2)
	copyPart := func(to, from net.Conn, cut bool) {
		if cut {
			_, _ = io.CopyN(to, from, (n*97)%1500)
		} else {
			_, _ = io.Copy(to, from)
		}
		ended <- struct{}{}
	}
	go copyPart(target, conn, n%3 == 0)
	go copyPart(conn, target, n%3 == 1)
	<-ended
}

// Guards against a request that is executed twice, or is executed although it was reported as not
// run, when connections are cut at any byte of the requests and responses, and against a truncated
// response that reaches another caller or is forwarded as complete.
func TestConnectionsCut(t *testing.T) {
	w := newCluster(t, []string{address(5, 0), address(5, 1), targetAddress(2)})
	faultmatrix.Proves(t, faultmatrix.ConnectionClosed, faultmatrix.RequestWriteHeaders, faultmatrix.RequestWriteBody,
		faultmatrix.RequestWait, faultmatrix.RequestReadHeaders, faultmatrix.RequestReadBody, faultmatrix.RequestReuse)
	proxies := []*cuttingProxy{startCuttingProxy(w, 0), startCuttingProxy(w, 1)}
	l := w.startLoad("a", 0, 1, 2)
	l.awaitRequests(1000)
	l.stop()
	l.checkExecutions(0, 1, 2)
	w.Expect(proxies[0].connections.Load()+proxies[1].connections.Load()).To(BeNumerically(">", 3), "no connections were cut")
	// The caller of a truncated response must see an aborted connection.
	cutResponses := proxies[0].cutResponses.Load() + proxies[1].cutResponses.Load()
	w.Expect(len(l.aborted)).To(BeNumerically("<=", cutResponses), "a node aborted a response without a cut connection to its target: %v", l.aborted)
}

// Guards against a leaving target that still starts to execute requests after 5 s (P8).
func TestLeavingTargetStartsNothing(t *testing.T) {
	w := newCluster(t, allTargets())
	faultmatrix.Proves(t, faultmatrix.TargetDraining, faultmatrix.RequestChoose)
	l := w.startLoad("a", 0, 1, 2)
	l.awaitRequests(300)
	w.Expect(w.targetStats(0).Executions).NotTo(BeEmpty())
	w.listVMs(allTargets(), targetAddress(0))
	time.Sleep(5 * time.Second)
	before := len(w.targetStats(0).Executions)
	l.awaitRequests(500)
	l.stop()
	w.Expect(w.targetStats(0).Executions).To(HaveLen(before), "a leaving target started to execute requests")
	l.checkExecutions(0, 1, 2)
}

// Guards against a planned stop that aborts a request in flight (P9), and against a process that
// does not exit after it.
func TestPlannedStopCutsNothing(t *testing.T) {
	w := newCluster(t, allTargets(), "--service-time", "200ms")
	faultmatrix.Proves(t, faultmatrix.TargetSlow, faultmatrix.StopDrain, faultmatrix.StopClose)
	l := w.startLoad("a", 0)
	l.awaitRequests(30)
	w.nodes[0].signal(syscall.SIGTERM)
	state := w.nodes[0].wait()
	l.stop()
	w.Expect(state.ExitCode()).To(BeZero())
	w.Expect(l.aborted).To(BeEmpty(), "requests aborted by a planned stop")
	w.Expect(l.dialFailures).NotTo(BeZero(), "the node stopped only after the load had ended")
	l.checkExecutions(0, 1, 2)
}

// Guards against nodes that stop serving during an outage of the platform, accept a change that is
// not stored, or do not apply changes after the outage.
func TestPlatformStopped(t *testing.T) {
	w := newCluster(t, allTargets())
	faultmatrix.Proves(t, faultmatrix.PlatformDown, faultmatrix.RequestChoose, faultmatrix.ConfigAccept, faultmatrix.LeaseRenew)
	l := w.startLoad("a", 0, 1, 2)
	w.platform.signal(syscall.SIGSTOP)
	l.awaitRequests(200)
	code, _ := w.sendJSON(http.MethodPost, "http://"+operatorAddress(0)+"/v1/apply", declaration(4000))
	w.Expect(code).To(Equal(503))
	time.Sleep(12 * time.Second) // longer than a lease
	l.awaitRequests(200)
	w.awaitReady(0, 1, 2)
	w.platform.signal(syscall.SIGCONT)
	revision := w.apply(1, declaration(5000))
	for i := range nodes {
		w.await("the configuration to be applied", func() bool { return w.appliedRevision(i) >= revision })
	}
	l.stop()
	w.Expect(l.aborted).To(BeEmpty())
	l.checkExecutions(0, 1, 2)
}

// Guards against a node that serves an outdated configuration after it was paused past its leases
// or killed, and against the other nodes rejecting changes without it.
func TestNodePausedAndKilled(t *testing.T) {
	w := newCluster(t, allTargets())
	faultmatrix.Proves(t, faultmatrix.NodePaused, faultmatrix.ConfigAnnounce, faultmatrix.ConfigApply)
	faultmatrix.Proves(t, faultmatrix.NodeKilled, faultmatrix.ConfigAnnounce, faultmatrix.ConfigApply)
	l := w.startLoad("a", 1, 2)
	w.nodes[0].signal(syscall.SIGSTOP)
	paused := w.apply(1, declaration(4000))
	w.await("the configuration to be applied", func() bool { return w.appliedRevision(1) >= paused && w.appliedRevision(2) >= paused })
	time.Sleep(12 * time.Second) // longer than a lease
	w.nodes[0].signal(syscall.SIGCONT)
	w.await("the configuration to be applied", func() bool { return w.appliedRevision(0) >= paused })

	w.nodes[0].kill()
	killed := w.apply(2, declaration(5000))
	w.await("the configuration to be applied", func() bool { return w.appliedRevision(1) >= killed && w.appliedRevision(2) >= killed })
	w.nodes[0] = w.startNode(0)
	w.awaitReady(0)
	w.Expect(w.appliedRevision(0)).To(BeNumerically(">=", killed), "the node is ready with an outdated configuration")
	l.stop()
	w.Expect(l.aborted).To(BeEmpty())
	l.checkExecutions(0, 1, 2)
}
