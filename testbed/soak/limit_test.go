package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// binary is the node program that the tests of this package start as separate processes.
var binary string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "fireflychute")
	output, err := exec.Command("go", "build", "-o", binary, "github.com/fireflychute/fireflychute/cmd/fireflychute").CombinedOutput()
	if err != nil {
		fmt.Printf("building the node program: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// runningClusters holds an entry for each cluster that runs. More than two at a time starve the
// stand-ins, which share this process: they then record arrivals seconds after they were sent.
var runningClusters = make(chan struct{}, 2)

const (
	limitTestNodes     = 6
	limitTestInstances = 4
	// callInterval is the time between two requests to each node.
	callInterval = 40 * time.Millisecond
)

// answer is what a caller saw of one request.
type answer struct {
	sentAt     time.Time
	status     int
	elapsed    time.Duration
	retryAfter time.Duration
}

// limitTest is a cluster under open-loop load with instances that name limits.
type limitTest struct {
	*WithT
	t       *testing.T
	cluster *cluster
	load    *loadGenerator
	running sync.WaitGroup
	mu      sync.Mutex
	answers []answer
}

func newLimitTest(t *testing.T) *limitTest {
	return newLoadedCluster(t, size{nodes: limitTestNodes, instances: limitTestInstances}, callInterval)
}

// newLoadedCluster starts a cluster whose nodes get a request per interval each.
func newLoadedCluster(t *testing.T, size size, interval time.Duration) *limitTest {
	t.Parallel()
	runningClusters <- struct{}{}
	t.Cleanup(func() { <-runningClusters })
	w, err := newCluster(t.TempDir(), binary, size)
	l := &limitTest{WithT: NewWithT(t), t: t, cluster: w}
	l.Expect(err).NotTo(HaveOccurred())
	l.load = newLoadGenerator(w)
	t.Cleanup(w.stop)
	for _, n := range w.nodes {
		l.Expect(w.start(n)).To(Succeed())
	}
	for _, n := range w.nodes {
		l.Expect(awaitReady(n, readyTimeout)).To(BeTrue(), n.name)
	}
	ctx, cancel := context.WithCancel(context.Background())
	for i, n := range w.nodes {
		l.running.Go(func() { l.callEvery(ctx, n, interval, i%2 == 0) })
	}
	t.Cleanup(func() {
		cancel()
		l.running.Wait()
	})
	time.Sleep(time.Second)
	return l
}

// callEvery sends requests to a node at a fixed rate, however long they take.
func (l *limitTest) callEvery(ctx context.Context, n *node, interval time.Duration, isUnsafe bool) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 50, DisableCompression: true}}
	method, path := http.MethodGet, "/safe/x"
	if isUnsafe {
		method, path = http.MethodPost, "/unsafe/x"
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.running.Go(func() { l.call(ctx, client, n, method, path) })
		}
	}
}

func (l *limitTest) call(ctx context.Context, client *http.Client, n *node, method, path string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+time.Second)
	defer cancel()
	sentAt := time.Now()
	status, _, header := sendRequest(ctx, client, n, method, path, "q"+strconv.FormatInt(l.load.lastID.Add(1), 10))
	seconds, _ := strconv.ParseFloat(header.Get("Retry-After"), 64)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, answer{sentAt, status, time.Since(sentAt), time.Duration(seconds * float64(time.Second))})
}

// answersSince returns the answers to requests that were sent after a time, by status.
func (l *limitTest) answersSince(from time.Time) map[int][]answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	byStatus := map[int][]answer{}
	for _, a := range l.answers {
		if a.sentAt.After(from) {
			byStatus[a.status] = append(byStatus[a.status], a)
		}
	}
	return byStatus
}

// arrivalsSince counts the requests and load probes that reached an instance after a time.
func (l *limitTest) arrivalsSince(i int, from time.Time) int {
	count := 0
	for _, at := range l.cluster.instances[i].Arrivals() {
		if at.After(from) {
			count++
		}
	}
	return count
}

// expectLimitsKept fails the test for each instance that received more than it had named.
func (l *limitTest) expectLimitsKept() {
	l.t.Helper()
	for _, i := range l.cluster.instances {
		for _, failure := range checkLimit(i) {
			l.t.Error(failure)
		}
	}
}

// Guards against an instance that gets more from all nodes together than the limit it has named:
// the incident of 2026-12-04 (LIMIT).
func TestInstanceGetsNoMoreThanItsLimit(t *testing.T) {
	for _, limit := range []string{"1.1", "3", "12"} {
		t.Run(limit, func(t *testing.T) {
			l := newLimitTest(t)
			l.cluster.instances[0].NameLimit(limit)
			time.Sleep(9 * time.Second)
			l.expectLimitsKept()
			rate, _ := strconv.ParseFloat(limit, 64)
			used := l.arrivalsSince(0, time.Now().Add(-limitWindow))
			t.Logf("limit %s: %d requests and load probes in the last %v", limit, used, limitWindow)
			l.Expect(float64(used)).To(BeNumerically(">=", rate*limitWindow.Seconds()/3), "a limited instance is still used")
			l.Expect(l.answersSince(time.Now().Add(-limitWindow))).To(HaveLen(1), "the other instances have room for all requests")
		})
	}
}

// Guards against a limit that is exceeded while members of the fleet stop, freeze, restart, join, or
// lose the store.
func TestLimitIsKeptWhileMembersChange(t *testing.T) {
	for name, disturb := range map[string]func(l *limitTest, n *node){
		"killed": func(l *limitTest, n *node) { n.signal(syscall.SIGKILL) },
		"frozen": func(l *limitTest, n *node) {
			n.signal(syscall.SIGSTOP)
			time.Sleep(2 * time.Second)
			n.signal(syscall.SIGCONT)
		},
		"restart": func(l *limitTest, n *node) {
			n.signal(syscall.SIGKILL)
			<-n.exited
			l.Expect(l.cluster.start(n)).To(Succeed())
		},
		"no store": func(l *limitTest, n *node) { n.storePath.SetFault(Silent) },
		"joins": func(l *limitTest, _ *node) {
			added, err := l.cluster.newNode(len(l.cluster.nodes))
			l.Expect(err).NotTo(HaveOccurred())
			l.cluster.nodes = append(l.cluster.nodes, added)
			l.Expect(l.cluster.start(added)).To(Succeed())
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLimitTest(t)
			for _, i := range l.cluster.instances[:2] {
				i.NameLimit("2")
			}
			time.Sleep(2 * time.Second)
			for _, n := range []*node{l.cluster.nodes[1], l.cluster.nodes[4], l.cluster.nodes[0]} {
				disturb(l, n)
				time.Sleep(2500 * time.Millisecond)
			}
			l.expectLimitsKept()
		})
	}
}

// Guards against a limit that stays in force after its end, against one that is exceeded after it
// was lowered, and against values that are no limit in effect changing anything.
func TestLimitFollowsWhatTheInstanceNames(t *testing.T) {
	t.Run("lowered", func(t *testing.T) {
		l := newLimitTest(t)
		l.cluster.instances[0].NameLimit("20")
		time.Sleep(4 * time.Second)
		l.cluster.instances[0].NameLimit("1")
		time.Sleep(8 * time.Second)
		l.expectLimitsKept()
	})
	t.Run("ended", func(t *testing.T) {
		l := newLimitTest(t)
		l.cluster.instances[0].NameLimit("1")
		time.Sleep(6 * time.Second)
		l.expectLimitsKept()
		l.cluster.instances[0].NameLimit("")
		time.Sleep(4 * time.Second)
		l.Expect(l.arrivalsSince(0, time.Now().Add(-time.Second))).To(BeNumerically(">", 10))
	})
	t.Run("zero and then ended", func(t *testing.T) {
		l := newLimitTest(t)
		l.cluster.instances[0].NameLimit("0")
		time.Sleep(8 * time.Second)
		l.expectLimitsKept()
		l.cluster.instances[0].NameLimit("")
		time.Sleep(8 * time.Second)
		l.Expect(l.arrivalsSince(0, time.Now().Add(-time.Second))).To(BeNumerically(">", 10))
	})
	for _, text := range []string{"1000000000000", "-1", "NaN", "soon"} {
		t.Run("without effect: "+text, func(t *testing.T) {
			l := newLimitTest(t)
			l.cluster.instances[0].NameLimit(text)
			time.Sleep(3 * time.Second)
			l.Expect(l.arrivalsSince(0, time.Now().Add(-time.Second))).To(BeNumerically(">", 10))
			l.Expect(l.answersSince(time.Now().Add(-2*time.Second))).To(HaveLen(1), "all requests are served")
		})
	}
	t.Run("malformed after a limit", func(t *testing.T) {
		l := newLimitTest(t)
		l.cluster.instances[0].NameLimit("2")
		time.Sleep(2 * time.Second)
		l.cluster.instances[0].NameLimit("2,x")
		time.Sleep(2 * time.Second)
		l.cluster.instances[0].NameLimit("-5")
		time.Sleep(6 * time.Second)
		l.expectLimitsKept()
	})
}

// Guards against callers that wait for, or are sent back too early to, a service whose instances all
// name limits: what does not fit is rejected at once with the time at which there is room, and what
// fits is served.
func TestRequestsBeyondAllLimitsAreRejectedAtOnce(t *testing.T) {
	const limit = 5
	l := newLimitTest(t)
	for _, i := range l.cluster.instances {
		i.NameLimit(strconv.Itoa(limit))
	}
	time.Sleep(3 * time.Second)
	from := time.Now()
	time.Sleep(6 * time.Second)
	l.expectLimitsKept()
	answers := l.answersSince(from)
	served, rejected := answers[http.StatusOK], answers[http.StatusServiceUnavailable]
	allowed := limit * limitTestInstances * time.Since(from).Seconds()
	l.t.Logf("limits of %v in all: %.1f served and %.1f rejected per second", limit*limitTestInstances, float64(len(served))/time.Since(from).Seconds(), float64(len(rejected))/time.Since(from).Seconds())
	l.Expect(float64(len(served))).To(BeNumerically(">=", allowed/2), "half of what the instances accept is used")
	l.Expect(rejected).NotTo(BeEmpty())
	slow, withoutTime := 0, 0
	for _, a := range rejected {
		if a.elapsed > 200*time.Millisecond {
			slow++
		}
		if a.retryAfter <= 0 {
			withoutTime++
		}
	}
	l.Expect(withoutTime).To(BeZero())
	l.Expect(slow).To(BeNumerically("<=", len(rejected)/20), "of %d rejected", len(rejected))
}
