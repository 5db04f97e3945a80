package demo

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// healthCheckInterval is the interval of the platform balancer's health checks, and the timeout of
// each check.
const healthCheckInterval = 250 * time.Millisecond

// Balancer spreads calls over the nodes that report ready, as the platform's balancer does.
type Balancer struct {
	nodes []*Node
	ready atomic.Pointer[[]*Node]
}

// NewBalancer returns a balancer without ready nodes; Run finds them.
func NewBalancer(nodes []*Node) *Balancer {
	b := &Balancer{nodes: nodes}
	b.ready.Store(&[]*Node{})
	return b
}

// Run checks the readiness of the nodes at each interval until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		b.checkNodes(ctx)
		_ = sleep(ctx, healthCheckInterval)
	}
}

func (b *Balancer) checkNodes(ctx context.Context) {
	ready := make([]bool, len(b.nodes))
	var group sync.WaitGroup
	for i, n := range b.nodes {
		group.Go(func() { ready[i] = isReady(ctx, n) })
	}
	group.Wait()
	readyNodes := []*Node{}
	for i, n := range b.nodes {
		if ready[i] {
			readyNodes = append(readyNodes, n)
		}
	}
	b.ready.Store(&readyNodes)
}

func isReady(ctx context.Context, n *Node) bool {
	ctx, cancel := context.WithTimeout(ctx, healthCheckInterval)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.OperatorAddress+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := adminClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// WaitReady waits until every node has passed its last health check.
func (b *Balancer) WaitReady(ctx context.Context) error {
	for len(*b.ready.Load()) < len(b.nodes) {
		err := sleep(ctx, pollInterval)
		if err != nil {
			return err
		}
	}
	return nil
}

// Choose returns a random ready node, or nil if no node is ready.
func (b *Balancer) Choose(random *rand.Rand) *Node {
	ready := *b.ready.Load()
	if len(ready) == 0 {
		return nil
	}
	return ready[random.IntN(len(ready))]
}
