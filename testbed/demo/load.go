package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// maxOutstanding bounds the calls in flight on one route. Calls above it are recorded as not sent.
const maxOutstanding = 2000

// Load generates open-loop load: arrivals follow a seeded schedule that does not wait for
// responses, and latency is measured from the scheduled time.
type Load struct {
	deployment string
	balancer   *Balancer
	client     *http.Client

	mu    sync.Mutex
	calls []Call
}

// NewLoad returns a load generator that sends calls to the ready nodes of a balancer.
func NewLoad(deployment string, balancer *Balancer) *Load {
	transport := &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}
	return &Load{deployment: deployment, balancer: balancer, client: &http.Client{Transport: transport}}
}

// Run sends calls on all routes until ctx ends, and returns when all calls have ended.
func (l *Load) Run(ctx context.Context, routes []Route, seed uint64) {
	var group sync.WaitGroup
	for i, route := range routes {
		group.Go(func() { l.runRoute(ctx, route, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	group.Wait()
}

func (l *Load) runRoute(ctx context.Context, route Route, random *rand.Rand) {
	var group sync.WaitGroup
	slots := make(chan struct{}, maxOutstanding)
	intended := time.Now()
	for n := 0; ; n++ {
		intended = intended.Add(time.Duration(random.ExpFloat64() / route.PerSecond * float64(time.Second)))
		if sleep(ctx, time.Until(intended)) != nil {
			break
		}
		call := Call{Route: route.Name, ID: fmt.Sprintf("%s-%s-%06d", l.deployment, route.Name, n), Intended: intended}
		node := l.balancer.Choose(random)
		select {
		case slots <- struct{}{}:
			group.Go(func() {
				l.runCall(route, node, call)
				<-slots
			})
		default:
			call.Outcome = NotSent
			l.record(call)
		}
	}
	group.Wait()
}

func (l *Load) runCall(route Route, node *Node, call Call) {
	if node == nil {
		call.Outcome = NotSent
		l.record(call)
		return
	}
	call.Node = node.Name
	l.doRequest(route, node, &call)
	call.Ended = time.Now()
	l.record(call)
}

func (l *Load) record(call Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, call)
}

// Calls returns the calls that have ended or were not sent.
func (l *Load) Calls() []Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}
