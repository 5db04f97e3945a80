package membership

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fireflychute/fireflychute/pkg/message"
)

const step = 50 * time.Millisecond

// fleet runs machines over a network with delay, loss and partitions, on a clock
// that only run advances. A name is also the address.
type fleet struct {
	now     time.Time
	random  *rand.Rand
	nodes   map[string]*node
	flight  []flying
	half    map[string]bool // one half of a partition
	split   bool
	loss    float64
	starts  uint64
	listing bool // the platform's list is readable
	codec   bool // messages pass through the codec and are counted
}

type node struct {
	*Machine
	paused         bool
	sent, received int
	largest        int
	ticking        time.Duration
}

type flying struct {
	from string
	due  time.Time
	Outgoing
}

func newFleet(size int, seed uint64) *fleet {
	f := &fleet{now: time.Unix(0, 0), random: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*node{}, half: map[string]bool{}, listing: true}
	for i := range size {
		f.start(fmt.Sprintf("node-%03d", i))
	}
	return f
}

func (f *fleet) start(name string) {
	f.starts++
	self := Member{Name: name, Address: name, DataCentre: "north", Incarnation: f.starts}
	random := rand.New(rand.NewPCG(f.random.Uint64(), f.starts))
	f.nodes[name] = &node{Machine: New(self, []string{"node-000", "node-001", "node-002"}, random, f.now)}
}

func (f *fleet) run(d time.Duration, check func()) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(step)
		f.deliver()
		for _, name := range sortedKeys(f.nodes) {
			if n := f.nodes[name]; !n.paused {
				begin := time.Now()
				out := n.Tick(f.now)
				n.ticking += time.Since(begin)
				f.send(name, out)
			}
		}
		if f.listing && f.now.UnixMilli()%2000 == 0 {
			f.list()
		}
		if check != nil {
			check()
		}
	}
}

func (f *fleet) list() {
	for _, name := range sortedKeys(f.nodes) {
		if !f.nodes[name].paused {
			f.nodes[name].ListedNodes(f.now, sortedKeys(f.nodes))
		}
	}
}

func (f *fleet) send(from string, out []Outgoing) {
	for _, o := range out {
		if f.codec {
			encoded, _ := o.Message.MarshalMsg(nil)
			o.Message = Message{}
			if _, err := o.Message.UnmarshalMsg(encoded); err != nil {
				panic(err)
			}
			f.count(from, o.To, len(encoded)+4)
		}
		due := f.now.Add(time.Duration(f.random.IntN(3)) * step)
		f.flight = append(f.flight, flying{from, due, o})
	}
}

func (f *fleet) count(from, to string, size int) {
	f.nodes[from].sent += size
	f.nodes[from].largest = max(f.nodes[from].largest, size)
	if n := f.nodes[to]; n != nil {
		n.received += size
	}
}

func (f *fleet) deliver() {
	flight := f.flight
	f.flight = nil
	for _, o := range flight {
		n := f.nodes[o.To]
		switch {
		case o.due.After(f.now), n != nil && n.paused:
			f.flight = append(f.flight, o)
		case n == nil, f.split && f.half[o.from] != f.half[o.To], f.random.Float64() < f.loss:
		default:
			begin := time.Now()
			out := n.Handle(f.now, o.from, o.Message)
			n.ticking += time.Since(begin)
			f.send(o.To, out)
		}
	}
}

// news is a ping that asks for no ack.
func news(from string, facts ...Fact) Message {
	g := &message.Gossip{}
	for _, fact := range facts {
		g.Facts = append(g.Facts, fact.wire())
	}
	return Message{From: from, Address: from, Ping: &message.Ping{Gossip: g}}
}
