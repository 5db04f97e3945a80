package quota

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"
)

var errUnreachable = errors.New("unreachable")

// simNode is a node of a simulated fleet.
type simNode struct {
	Node
	table     *Table
	allocator *Allocator
	frozen    bool
	// group is the part of a divided network in which the node is.
	group int
}

// simFleet simulates nodes that send requests to one limited target, in virtual time.
type simFleet struct {
	now    time.Time
	key    Key
	nodes  []*simNode
	limit  Statement
	random *rand.Rand
	// sent holds the time of each request and load probe that reached the target.
	sent []time.Time
	// asks is counted by the goroutines of Allocator.Maintain as well.
	asks atomic.Int64
}

func newSimFleet(nodes int, seed uint64) *simFleet {
	f := &simFleet{now: start, key: Key{Target: fmt.Sprint("i-", seed)}, random: rand.New(rand.NewPCG(seed, 7))}
	for range nodes {
		f.join()
	}
	f.listNodes()
	return f
}

func (f *simFleet) join() *simNode {
	node := &simNode{Node: Node{Name: fmt.Sprint("n", len(f.nodes)), Address: fmt.Sprint("n", len(f.nodes))}}
	f.restart(node)
	f.nodes = append(f.nodes, node)
	return node
}

// restart gives a node a new process, which knows nothing.
func (f *simFleet) restart(node *simNode) {
	node.table = NewTable(func(Change) {})
	node.allocator = NewAllocator(node.Name, node.table, simPeers{f, node})
	node.allocator.now = func() time.Time { return f.now }
	node.frozen = false
	node.allocator.SetNodes(f.list())
}

func (f *simFleet) list() []Node {
	var list []Node
	for _, node := range f.nodes {
		list = append(list, node.Node)
	}
	return list
}

// listNodes gives the list of nodes to all nodes that the first group reaches.
func (f *simFleet) listNodes() {
	for _, node := range f.nodes {
		if node.group == 0 {
			node.allocator.SetNodes(f.list())
		}
	}
}

// simPeers calls other nodes of the fleet directly.
type simPeers struct {
	fleet *simFleet
	from  *simNode
}

func (p simPeers) Ask(ctx context.Context, to Node, ask Ask) (Reply, error) {
	p.fleet.asks.Add(1)
	index := slices.IndexFunc(p.fleet.nodes, func(node *simNode) bool { return node.Name == to.Name })
	if index < 0 {
		return Reply{}, errUnreachable
	}
	peer := p.fleet.nodes[index]
	if peer.frozen || peer.group != p.from.group {
		return Reply{}, errUnreachable
	}
	return peer.allocator.HandleAsk(ctx, p.from.Name, ask), nil
}

// arrive delivers a request of a node to the target and the response back.
func (f *simFleet) arrive(node *simNode) {
	f.sent = append(f.sent, f.now)
	node.table.Observe(f.key, f.limit, f.now, f.now)
}

// send makes a node send one request if it may.
func (f *simFleet) send(node *simNode) bool {
	if node.frozen {
		return false
	}
	if !node.allocator.TryOwn(f.key) && !node.allocator.Acquire(context.Background(), f.key).OK {
		return false
	}
	f.arrive(node)
	return true
}

// gossip passes limits on within each part of the network.
func (f *simFleet) gossip() {
	for _, from := range f.nodes {
		for _, to := range f.nodes {
			if from != to && !from.frozen && !to.frozen && from.group == to.group {
				to.table.Merge(from.Name, from.table.Own(), f.now)
			}
		}
	}
}

func (f *simFleet) maintain() {
	for _, node := range f.nodes {
		if node.frozen {
			continue
		}
		for range node.allocator.Maintain(context.Background()) {
			f.arrive(node)
		}
	}
}

// run advances the fleet by a time in which nodes get requests at a rate per second in total,
// unevenly.
func (f *simFleet) run(length time.Duration, rate float64) {
	end := f.now.Add(length)
	gossipAt, maintainAt := f.now, f.now
	for f.now.Before(end) {
		f.now = f.now.Add(time.Duration(f.random.ExpFloat64() / rate * float64(time.Second)))
		if f.now.After(gossipAt) {
			f.gossip()
			gossipAt = f.now.Add(500 * time.Millisecond)
		}
		if f.now.After(maintainAt) {
			f.maintain()
			maintainAt = f.now.Add(MaintainInterval)
		}
		f.send(f.nodes[f.sample()])
	}
}

// sample returns a node; the first ones get several times as many requests as the last ones.
func (f *simFleet) sample() int {
	x := f.random.Float64()
	return int(x * x * float64(len(f.nodes)))
}

// worstWindow returns the largest number of times within a window that ends after from.
func worstWindow(times []time.Time, window time.Duration, from time.Time) int {
	worst, first := 0, 0
	for last, end := range times {
		for times[first].Before(end.Add(-window)) {
			first++
		}
		if end.After(from) {
			worst = max(worst, last-first+1)
		}
	}
	return worst
}
