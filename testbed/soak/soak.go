package soak

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/fireflychute/fireflychute/testbed/instance"
	"github.com/fireflychute/fireflychute/testbed/metastore"
)

const (
	readyTimeout = 10 * time.Second
	// Bounds of the pauses between faults; short pauses make faults overlap.
	minPause = 50 * time.Millisecond
	maxPause = 900 * time.Millisecond
)

// Options configures a soak.
type Options struct {
	// Binary is the path of the node binary.
	Binary string
	// Seed determines the sequence of faults.
	Seed uint64
	// Duration is the time during which faults are injected.
	Duration time.Duration
	// Nodes and Instances are the numbers of node processes and of stand-in instances.
	Nodes, Instances int
	// Dir is the directory for the settings and logs of the nodes; it is created if missing.
	Dir string
}

// Result holds the failed checks of a soak, the number of requests with status 200 and the log of
// faults.
type Result struct {
	Failures []string
	Served   int
	Faults   []string
}

// soak is the state of one run.
type soak struct {
	options  Options
	cluster  *cluster
	load     *loadGenerator
	rng      *rand.Rand
	faultLog []string
	start    time.Time
	pending  sync.WaitGroup
	// leaving is the set of instances, by index, that were withdrawn.
	leaving map[int]bool
	// leavingReportedAt is the time since which an instance reports in its responses that it is
	// leaving.
	leavingReportedAt map[int]time.Time
	rollout           rollout
	copies            storeCopies
	// isLimited is set while an instance names a limit.
	isLimited atomic.Bool
}

// Run runs a soak with one seed. An error means that the cluster did not start.
func Run(options Options) (Result, error) {
	err := os.MkdirAll(options.Dir, 0o750)
	if err != nil {
		return Result{}, err
	}
	w, err := newCluster(options.Dir, options.Binary, size{nodes: options.Nodes, instances: options.Instances})
	if err != nil {
		return Result{}, err
	}
	defer w.stop()
	s := &soak{options: options, cluster: w, load: newLoadGenerator(w), rng: rand.New(rand.NewPCG(options.Seed, 1)), leaving: map[int]bool{}, leavingReportedAt: map[int]time.Time{}}
	for _, n := range w.nodes {
		err = w.start(n)
		if err != nil {
			return Result{}, err
		}
		n.suspendTimeBounds(0)
	}
	for _, n := range w.nodes {
		if !awaitReady(n, readyTimeout) {
			return Result{}, fmt.Errorf("node %s is not ready %v after its start", n.name, readyTimeout)
		}
	}
	s.run()
	return Result{Failures: s.load.failures, Served: s.load.served, Faults: s.faultLog}, nil
}

func awaitReady(n *node, timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + n.readyAddress + "/v1/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// run injects faults under load, then ends all faults and checks that the cluster recovers.
func (s *soak) run() {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, n := range s.cluster.nodes {
		for _, kind := range []string{"safe", "unsafe"} {
			running.Go(func() { s.load.run(ctx, n, kind) })
		}
	}
	running.Go(func() { s.watchConfiguration(ctx) })
	running.Go(func() { s.copies.run(ctx, s.cluster.store) })
	s.start = time.Now()
	for time.Since(s.start) < s.options.Duration {
		s.inject()
		time.Sleep(minPause + time.Duration(s.rng.Int64N(int64(maxPause-minPause))))
	}
	s.pending.Wait()
	s.checkRecovery()
	s.rollout.check(s)
	s.checkLimits()
	s.checkLeavingInstances()
	cancel()
	running.Wait()
	s.load.checkExecutions()
}

func (s *soak) logFault(format string, values ...any) {
	s.faultLog = append(s.faultLog, fmt.Sprintf("%6.2f s ", time.Since(s.start).Seconds())+fmt.Sprintf(format, values...))
}

// inject injects one random fault.
func (s *soak) inject() {
	n := s.cluster.nodes[s.rng.IntN(len(s.cluster.nodes))]
	duration := 300*time.Millisecond + time.Duration(s.rng.Int64N(int64(3*time.Second)))
	switch s.rng.IntN(15) {
	case 0:
		s.restart(n, syscall.SIGTERM, drainTimeout)
	case 1:
		s.restart(n, syscall.SIGKILL, 0)
	case 2:
		s.pause(n, duration)
	case 3:
		s.logFault("%s gets SIGHUP", n.name)
		n.signal(syscall.SIGHUP)
	case 4, 5:
		s.injectStorePathFault(n, PathFault(1+s.rng.IntN(4)), duration)
	case 6:
		s.injectStoreFault(duration)
	case 7:
		s.logFault("configuration is updated")
		s.cluster.configure()
	case 8:
		s.injectInstanceFault(duration)
	case 9:
		s.logFault("store compacts its history")
		s.cluster.store.Compact()
	case 10:
		s.withdrawInstance()
	case 11:
		s.injectInstancePathFault(PathFault(1+s.rng.IntN(4)), duration)
	case 12:
		s.rollout.start(s)
	case 13:
		s.nameLimit()
	case 14:
		s.restoreStore()
	}
}

// maxLeaving is the number of instances that may leave; the others must carry the load.
const maxLeaving = 2

// withdrawInstance marks an instance as draining in the store, removes its entry without prior
// draining, or makes it report in its responses that it is leaving.
func (s *soak) withdrawInstance() {
	i := s.rng.IntN(maxLeaving)
	if s.leaving[i] {
		return
	}
	s.leaving[i] = true
	leaving := s.cluster.instances[i]
	switch s.rng.IntN(3) {
	case 0:
		s.logFault("%s is marked as draining in the store", leaving.ID())
		s.cluster.register(leaving, "v1", "draining")
	case 1:
		s.logFault("entry of %s is removed from the store", leaving.ID())
		s.cluster.unregister(leaving)
	default:
		s.logFault("%s reports in its responses that it is leaving", leaving.ID())
		leaving.ReportLeaving()
		s.leavingReportedAt[i] = time.Now()
	}
}

// leavingDetectionBound is how long after an instance began to report in its responses that it is
// leaving a request may still reach it. It is short because each attempt follows a load probe, whose
// response already carries the report.
const leavingDetectionBound = time.Second

// removalBound is how long a leaving instance may receive requests after all faults ended: entries
// that may have expired because of a store outage are retained for some seconds.
const removalBound = 7 * time.Second

// checkLeavingInstances checks that withdrawn instances receive no requests once all nodes have had
// the time to apply the change.
func (s *soak) checkLeavingInstances() {
	if len(s.leaving) == 0 {
		return
	}
	time.Sleep(removalBound)
	before := map[int]int{}
	for i := range s.leaving {
		before[i] = len(s.cluster.instances[i].Runs())
	}
	time.Sleep(time.Second)
	for i, reportedAt := range s.leavingReportedAt {
		for _, execution := range s.cluster.instances[i].Runs() {
			if execution.StartedAt.Sub(reportedAt) > leavingDetectionBound {
				s.load.addFailure("%s reported that it is leaving and received request %s %v later", s.cluster.instances[i].ID(), execution.RequestID, execution.StartedAt.Sub(reportedAt))
			}
		}
	}
	for i := range s.leaving {
		added := len(s.cluster.instances[i].Runs()) - before[i]
		if added > 0 {
			s.load.addFailure("%s left, but received %d requests within 1 s", s.cluster.instances[i].ID(), added)
		}
	}
}

// restart stops a node with a signal and starts it again.
func (s *soak) restart(n *node, signal syscall.Signal, grace time.Duration) {
	n.mu.Lock()
	busy := n.isStopping || n.isPaused
	n.isStopping = true
	n.mu.Unlock()
	if busy {
		return
	}
	s.logFault("%s gets %v", n.name, signal)
	n.suspendTimeBounds(time.Hour)
	n.signal(signal)
	s.pending.Go(func() {
		select {
		case <-n.exited:
		case <-time.After(grace + time.Second):
			if grace > 0 {
				s.load.addFailure("%s is still running %v after SIGTERM", n.name, grace+time.Second)
			}
			n.signal(syscall.SIGKILL)
			<-n.exited
		}
		err := s.cluster.start(n)
		if err != nil {
			s.load.addFailure("starting %s again: %v", n.name, err)
			return
		}
		n.mu.Lock()
		n.timeBoundsSuspendedUntil = time.Now().Add(time.Second)
		n.mu.Unlock()
	})
}

func (s *soak) pause(n *node, duration time.Duration) {
	n.mu.Lock()
	busy := n.isStopping || n.isPaused
	n.isPaused = true
	n.mu.Unlock()
	if busy {
		return
	}
	s.logFault("%s is paused for %v", n.name, duration)
	n.suspendTimeBounds(duration)
	n.signal(syscall.SIGSTOP)
	s.pending.Go(func() {
		time.Sleep(duration)
		n.signal(syscall.SIGCONT)
		n.mu.Lock()
		n.isPaused = false
		n.mu.Unlock()
	})
}

func (s *soak) injectStorePathFault(n *node, fault PathFault, duration time.Duration) {
	s.logFault("path from %s to the store: fault %d for %v", n.name, fault, duration)
	n.storePath.SetFault(fault)
	s.pending.Go(func() {
		time.Sleep(duration)
		n.storePath.SetFault(NoFault)
	})
}

func (s *soak) injectStoreFault(duration time.Duration) {
	faults := []metastore.Faults{
		{Down: true},
		{RejectByRate: true},
		{Silent: true},
		{DelayMs: 300},
		{DropResponses: math.MaxInt},
		{DropEvents: true},
	}
	index := s.rng.IntN(len(faults))
	s.logFault("store: fault %d for %v", index, duration)
	s.cluster.server.SetFaults(faults[index])
	for _, n := range s.cluster.nodes {
		n.suspendTimeBounds(duration) // no node can apply changes in time without the store
	}
	s.pending.Go(func() {
		time.Sleep(duration)
		s.cluster.server.SetFaults(metastore.Faults{})
	})
}

// sampleInstance returns a random instance other than the last of the initial ones, which stays
// free of faults.
func (s *soak) sampleInstance() *instance.Instance {
	return s.cluster.instances[s.rng.IntN(s.options.Instances-1)]
}

// injectInstancePathFault applies a fault to the path from all nodes to one instance.
func (s *soak) injectInstancePathFault(fault PathFault, duration time.Duration) {
	i := s.sampleInstance()
	s.logFault("path to %s: fault %d for %v", i.ID(), fault, duration)
	path := s.cluster.instancePaths[i]
	path.SetFault(fault)
	s.pending.Go(func() {
		time.Sleep(duration)
		path.SetFault(NoFault)
	})
}

func (s *soak) injectInstanceFault(duration time.Duration) {
	i := s.sampleInstance()
	faults := []instance.Faults{
		{DropResponse: true},
		{TruncateResponse: true},
		{WrongRequestID: true},
		{Unsealed: true},
		{Hang: true},
		{Reject: true},
		{Reject: true, RetryAfter: "0.8"},
		{Unhealthy: true},
		{Unhealthy: true, UnhealthyRetryAfter: "0.8"},
		{SilentProbes: true},
		{Status: http.StatusServiceUnavailable},
		{Status: http.StatusInternalServerError},
	}
	index := s.rng.IntN(len(faults))
	s.logFault("%s: fault %d for %v", i.ID(), index, duration)
	i.SetFaults(faults[index])
	s.pending.Go(func() {
		time.Sleep(duration)
		i.SetFaults(instance.Faults{})
	})
}

// watchConfiguration checks that a node free of faults applies each version within
// configApplyBound, and that no process goes back to an older version.
func (s *soak) watchConfiguration(ctx context.Context) {
	type observation struct {
		version int
		process *os.Process
	}
	latest := map[*node]observation{}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	acknowledged := map[int]time.Time{}
	for ctx.Err() == nil {
		version := s.cluster.currentVersion()
		if _, exists := acknowledged[version]; !exists {
			acknowledged[version] = time.Now()
		}
		for _, n := range s.cluster.nodes {
			start := time.Now()
			n.mu.Lock()
			process := n.cmd.Process
			n.mu.Unlock()
			applied := s.appliedVersion(ctx, client, n, version)
			if applied == 0 || ctx.Err() != nil {
				continue
			}
			previous := latest[n]
			if previous.process == process && applied < previous.version {
				s.load.addFailure("%s went back from configuration version %d to %d", n.name, previous.version, applied)
			}
			latest[n] = observation{applied, process}
			pastBound := start.Sub(acknowledged[version]) > configApplyBound
			if applied < version && pastBound && n.faultFreeTime() > configApplyBound {
				s.load.addFailure("%s serves configuration version %d %v after the store acknowledged version %d", n.name, applied, start.Sub(acknowledged[version]), version)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// appliedVersion returns the newest configuration version whose route a node serves, or 0 if it
// cannot be determined.
func (s *soak) appliedVersion(ctx context.Context, client *http.Client, n *node, newest int) int {
	for version := newest; version > max(0, newest-8); version-- {
		requestCtx, cancel := context.WithTimeout(ctx, time.Second)
		status, _, _ := sendRequest(requestCtx, client, n, http.MethodGet, "/"+versionPrefix(version)+"/x", fmt.Sprintf("v%d", s.load.lastID.Add(1)))
		cancel()
		if status == 0 || status == http.StatusServiceUnavailable {
			return 0
		}
		if status != http.StatusNotFound {
			return version
		}
	}
	return 0
}

// checkRecovery ends all faults and checks that every node becomes ready and applies the newest
// configuration.
func (s *soak) checkRecovery() {
	s.cluster.server.SetFaults(metastore.Faults{})
	for _, n := range s.cluster.nodes {
		n.storePath.SetFault(NoFault)
		n.signal(syscall.SIGCONT)
	}
	s.cluster.configure()
	client := &http.Client{}
	for _, n := range s.cluster.nodes {
		if !awaitReady(n, readyTimeout) {
			s.load.addFailure("%s is not ready %v after all faults ended", n.name, readyTimeout)
			continue
		}
		version := 0
		for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline) && version < s.cluster.currentVersion(); time.Sleep(50 * time.Millisecond) {
			version = s.appliedVersion(context.Background(), client, n, s.cluster.currentVersion())
		}
		if version < s.cluster.currentVersion() {
			s.load.addFailure("%s serves configuration version %d after all faults ended, want %d", n.name, version, s.cluster.currentVersion())
		}
	}
}
