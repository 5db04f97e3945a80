package soak

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/fireflychute/fireflychute/testbed/instance"
	"github.com/fireflychute/fireflychute/testbed/metastore"
)

const (
	startTime = 10 * time.Second
	// Pauses between faults; short ones make faults overlap.
	minPause = 50 * time.Millisecond
	maxPause = 900 * time.Millisecond
)

// Options are what a soak is like.
type Options struct {
	// Binary is the program of the nodes.
	Binary string
	Seed   uint64
	// Length is how long faults are injected.
	Length time.Duration
	// Folder takes settings and logs.
	Folder string
}

// Result is what a soak found.
type Result struct {
	Failures []string
	Served   int
	Faults   []string
}

// soak is one run.
type soak struct {
	options Options
	world   *world
	callers *callers
	random  *rand.Rand
	faults  []string
	began   time.Time
	pending sync.WaitGroup
	// leaving are the instances that said that they leave.
	leaving map[int]bool
	// told is when instances began to say in their answers that they leave.
	told    map[int]time.Time
	rollout rollout
}

// Run plays one seed.
func Run(options Options) (Result, error) {
	err := os.MkdirAll(options.Folder, 0o750)
	if err != nil {
		return Result{}, err
	}
	w, err := newWorld(options.Folder, options.Binary)
	if err != nil {
		return Result{}, err
	}
	defer w.stop()
	s := &soak{options: options, world: w, callers: newCallers(w), random: rand.New(rand.NewPCG(options.Seed, 1)), leaving: map[int]bool{}, told: map[int]time.Time{}}
	for _, n := range w.nodes {
		err = w.start(n)
		if err != nil {
			return Result{}, err
		}
		n.disturb(0)
	}
	for _, n := range w.nodes {
		if !awaitReady(n, startTime) {
			return Result{}, fmt.Errorf("node %s is not ready after %v", n.name, startTime)
		}
	}
	s.play()
	return Result{Failures: s.callers.failures, Served: s.callers.served, Faults: s.faults}, nil
}

func awaitReady(n *node, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		answer, err := http.Get("http://" + n.ready + "/v1/ready")
		if err != nil {
			continue
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// play injects faults while callers call, then lets all recover and checks.
func (s *soak) play() {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, n := range s.world.nodes {
		for _, kind := range []string{"safe", "unsafe"} {
			running.Go(func() { s.callers.run(ctx, n, kind) })
		}
	}
	running.Go(func() { s.watchConfiguration(ctx) })
	s.began = time.Now()
	for time.Since(s.began) < s.options.Length {
		s.inject()
		time.Sleep(minPause + time.Duration(s.random.Int64N(int64(maxPause-minPause))))
	}
	s.pending.Wait()
	s.recover()
	s.rollout.check(s)
	s.checkLeaving()
	cancel()
	running.Wait()
	s.callers.checkRuns()
}

func (s *soak) note(format string, values ...any) {
	s.faults = append(s.faults, fmt.Sprintf("%6.2f s ", time.Since(s.began).Seconds())+fmt.Sprintf(format, values...))
}

// inject draws one fault.
func (s *soak) inject() {
	n := s.world.nodes[s.random.IntN(nodeCount)]
	long := 300*time.Millisecond + time.Duration(s.random.Int64N(int64(3*time.Second)))
	switch s.random.IntN(13) {
	case 0:
		s.restart(n, syscall.SIGTERM, graceTime)
	case 1:
		s.restart(n, syscall.SIGKILL, 0)
	case 2:
		s.pause(n, long)
	case 3:
		s.note("%s gets SIGHUP", n.name)
		n.signal(syscall.SIGHUP)
	case 4, 5:
		s.trouble(n, Trouble(1+s.random.IntN(4)), long)
	case 6:
		s.storeFault(long)
	case 7:
		s.note("configuration changes")
		s.world.configure()
	case 8:
		s.instanceFault(long)
	case 9:
		s.note("store forgets its history")
		s.world.store.Compact()
	case 10:
		s.leave()
	case 11:
		s.instancePath(Trouble(1+s.random.IntN(4)), long)
	case 12:
		s.rollout.order(s)
	}
}

// maxLeaving is how many instances may leave; the others bear the load.
const maxLeaving = 2

// leave makes an instance say that it leaves, in the store or in its answers, or removes its
// entry without a word.
func (s *soak) leave() {
	i := s.random.IntN(maxLeaving)
	if s.leaving[i] {
		return
	}
	s.leaving[i] = true
	left := s.world.instances[i]
	switch s.random.IntN(3) {
	case 0:
		s.note("%s says that it leaves", left.ID())
		s.world.register(left, "v1", "draining")
	case 1:
		s.note("entry of %s is removed", left.ID())
		s.world.store.Remove("servers", left.ID())
	default:
		s.note("%s says in its answers that it leaves", left.ID())
		left.Leave()
		s.told[i] = time.Now()
	}
}

// noticeTime is how long after an instance began to say so in its answers a request may reach
// it: each send follows an answer to a load question.
const noticeTime = time.Second

// settleTime is how long the leaving of an instance may take after all faults ended:
// entries that may have lapsed with the store are kept for some seconds.
const settleTime = 7 * time.Second

// checkLeaving checks that instances that left receive nothing once all nodes follow.
func (s *soak) checkLeaving() {
	if len(s.leaving) == 0 {
		return
	}
	time.Sleep(settleTime)
	before := map[int]int{}
	for i := range s.leaving {
		before[i] = len(s.world.instances[i].Runs())
	}
	time.Sleep(time.Second)
	for i, at := range s.told {
		for _, run := range s.world.instances[i].Runs() {
			if run.At.Sub(at) > noticeTime {
				s.callers.fail("%s said that it leaves and got request %s %v later", s.world.instances[i].ID(), run.RequestID, run.At.Sub(at))
			}
		}
	}
	for i := range s.leaving {
		more := len(s.world.instances[i].Runs()) - before[i]
		if more > 0 {
			s.callers.fail("%s left and still got %d requests in a second", s.world.instances[i].ID(), more)
		}
	}
}

// restart ends a node with a signal and starts it again.
func (s *soak) restart(n *node, signal syscall.Signal, grace time.Duration) {
	n.mu.Lock()
	busy := n.stopping || n.paused
	n.stopping = true
	n.mu.Unlock()
	if busy {
		return
	}
	s.note("%s gets %v", n.name, signal)
	n.disturb(time.Hour)
	n.signal(signal)
	s.pending.Go(func() {
		select {
		case <-n.ended:
		case <-time.After(grace + time.Second):
			if grace > 0 {
				s.callers.fail("%s still runs %v after SIGTERM", n.name, grace+time.Second)
			}
			n.signal(syscall.SIGKILL)
			<-n.ended
		}
		err := s.world.start(n)
		if err != nil {
			s.callers.fail("%s does not start: %v", n.name, err)
			return
		}
		n.mu.Lock()
		n.disturbed = time.Now().Add(time.Second)
		n.mu.Unlock()
	})
}

func (s *soak) pause(n *node, long time.Duration) {
	n.mu.Lock()
	busy := n.stopping || n.paused
	n.paused = true
	n.mu.Unlock()
	if busy {
		return
	}
	s.note("%s pauses for %v", n.name, long)
	n.disturb(long)
	n.signal(syscall.SIGSTOP)
	s.pending.Go(func() {
		time.Sleep(long)
		n.signal(syscall.SIGCONT)
		n.mu.Lock()
		n.paused = false
		n.mu.Unlock()
	})
}

func (s *soak) trouble(n *node, trouble Trouble, long time.Duration) {
	s.note("path of %s to the store: trouble %d for %v", n.name, trouble, long)
	n.path.Set(trouble)
	s.pending.Go(func() {
		time.Sleep(long)
		n.path.Set(Calm)
	})
}

func (s *soak) storeFault(long time.Duration) {
	faults := []metastore.Faults{
		{Down: true},
		{RejectByRate: true},
		{Silent: true},
		{DelayMs: 300},
		{DropResponses: math.MaxInt},
		{DropEvents: true},
	}
	drawn := s.random.IntN(len(faults))
	s.note("store: fault %d for %v", drawn, long)
	s.world.server.SetFaults(faults[drawn])
	for _, n := range s.world.nodes {
		n.disturb(long) // all nodes depend on the store for the bounds on changes
	}
	s.pending.Go(func() {
		time.Sleep(long)
		s.world.server.SetFaults(metastore.Faults{})
	})
}

// unsound draws one of the first instances; the last one stays sound.
func (s *soak) unsound() *instance.Instance {
	return s.world.instances[s.random.IntN(instanceCount-1)]
}

// instancePath disturbs the path of all nodes to an instance.
func (s *soak) instancePath(trouble Trouble, long time.Duration) {
	i := s.unsound()
	s.note("path to %s: trouble %d for %v", i.ID(), trouble, long)
	path := s.world.paths[i]
	path.Set(trouble)
	s.pending.Go(func() {
		time.Sleep(long)
		path.Set(Calm)
	})
}

func (s *soak) instanceFault(long time.Duration) {
	i := s.unsound()
	faults := []instance.Faults{
		{Cut: true},
		{Short: true},
		{Foreign: true},
		{Unsealed: true},
		{Hang: true},
		{Refuse: true},
		{Refuse: true, RetryAfter: "0.8"},
		{Ill: true},
		{Ill: true, IllRetryAfter: "0.8"},
		{Mute: true},
		{Status: http.StatusServiceUnavailable},
		{Status: http.StatusInternalServerError},
	}
	drawn := s.random.IntN(len(faults))
	s.note("%s: fault %d for %v", i.ID(), drawn, long)
	i.SetFaults(faults[drawn])
	s.pending.Go(func() {
		time.Sleep(long)
		i.SetFaults(instance.Faults{})
	})
}

// watchConfiguration checks that an undisturbed node follows the configuration and never
// goes back in one start.
func (s *soak) watchConfiguration(ctx context.Context) {
	type seen struct {
		version int
		process *os.Process
	}
	latest := map[*node]seen{}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	acknowledged := map[int]time.Time{}
	for ctx.Err() == nil {
		version := s.world.currentVersion()
		if _, known := acknowledged[version]; !known {
			acknowledged[version] = time.Now()
		}
		for _, n := range s.world.nodes {
			began := time.Now()
			n.mu.Lock()
			process := n.command.Process
			n.mu.Unlock()
			inForce := s.versionAt(ctx, client, n, version)
			if inForce == 0 || ctx.Err() != nil {
				continue
			}
			before := latest[n]
			if before.process == process && inForce < before.version {
				s.callers.fail("%s went back from version %d to %d", n.name, before.version, inForce)
			}
			latest[n] = seen{inForce, process}
			late := began.Sub(acknowledged[version]) > configurationBound
			if inForce < version && late && n.calmFor() > configurationBound {
				s.callers.fail("%s has version %d, %v after version %d was acknowledged", n.name, inForce, began.Sub(acknowledged[version]), version)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// versionAt returns the newest version whose route a node serves, 0 when it is not
// to be told.
func (s *soak) versionAt(ctx context.Context, client *http.Client, n *node, newest int) int {
	for version := newest; version > max(0, newest-8); version-- {
		limited, cancel := context.WithTimeout(ctx, time.Second)
		status, _, _ := send(limited, client, n, http.MethodGet, "/"+versionPrefix(version)+"/x", fmt.Sprintf("v%d", s.callers.ids.Add(1)))
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

// recover ends all faults and checks that every node serves the newest configuration.
func (s *soak) recover() {
	s.world.server.SetFaults(metastore.Faults{})
	for _, n := range s.world.nodes {
		n.path.Set(Calm)
		n.signal(syscall.SIGCONT)
	}
	s.world.configure()
	client := &http.Client{}
	for _, n := range s.world.nodes {
		if !awaitReady(n, startTime) {
			s.callers.fail("%s is not ready %v after all faults ended", n.name, startTime)
			continue
		}
		version := 0
		for end := time.Now().Add(startTime); time.Now().Before(end) && version < s.world.currentVersion(); time.Sleep(50 * time.Millisecond) {
			version = s.versionAt(context.Background(), client, n, s.world.currentVersion())
		}
		if version < s.world.currentVersion() {
			s.callers.fail("%s has version %d after all faults ended, not %d", n.name, version, s.world.currentVersion())
		}
	}
}
