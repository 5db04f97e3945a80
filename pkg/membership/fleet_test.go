package membership

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fireflychute/fireflychute/pkg/message"
)

const tickInterval = 50 * time.Millisecond

// fleet runs machines over a network with delay, loss and partitions, on a clock
// that only run advances. A name is also the address.
type fleet struct {
	now          time.Time
	random       *rand.Rand
	nodes        map[string]*node
	inFlight     []inFlightMessage
	sideA        map[string]bool // one half of a partition
	partitioned  bool
	lossRate     float64
	startCount   uint64
	listReadable bool // the platform's list is readable
	useCodec     bool // messages pass through the codec and are counted
}

type node struct {
	*Machine
	paused         bool
	sent, received int
	largest        int
	processingTime time.Duration
}

type inFlightMessage struct {
	from string
	due  time.Time
	Outgoing
}

func newFleet(size int, seed uint64) *fleet {
	f := &fleet{now: time.Unix(0, 0), random: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*node{}, sideA: map[string]bool{}, listReadable: true}
	for i := range size {
		f.start(fmt.Sprintf("node-%03d", i))
	}
	return f
}

func (f *fleet) start(name string) {
	f.startCount++
	self := Member{Name: name, Address: name, DataCentre: "north", Incarnation: f.startCount}
	random := rand.New(rand.NewPCG(f.random.Uint64(), f.startCount))
	f.nodes[name] = &node{Machine: New(self, []string{"node-000", "node-001", "node-002"}, random, f.now)}
}

func (f *fleet) run(d time.Duration, check func()) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(tickInterval)
		f.deliver()
		for _, name := range sortedKeys(f.nodes) {
			if n := f.nodes[name]; !n.paused {
				begin := time.Now()
				out := n.Tick(f.now)
				n.processingTime += time.Since(begin)
				f.send(name, out)
			}
		}
		if f.listReadable && f.now.UnixMilli()%2000 == 0 {
			f.publishNodeList()
		}
		if check != nil {
			check()
		}
	}
}

func (f *fleet) publishNodeList() {
	for _, name := range sortedKeys(f.nodes) {
		if !f.nodes[name].paused {
			f.nodes[name].SetListedNodes(f.now, sortedKeys(f.nodes))
		}
	}
}

func (f *fleet) send(from string, out []Outgoing) {
	for _, o := range out {
		if f.useCodec {
			encoded, _ := o.Message.MarshalMsg(nil)
			o.Message = Message{}
			if _, err := o.Message.UnmarshalMsg(encoded); err != nil {
				panic(err)
			}
			f.recordTraffic(from, o.To, len(encoded)+4)
		}
		due := f.now.Add(time.Duration(f.random.IntN(3)) * tickInterval)
		f.inFlight = append(f.inFlight, inFlightMessage{from, due, o})
	}
}

func (f *fleet) recordTraffic(from, to string, size int) {
	f.nodes[from].sent += size
	f.nodes[from].largest = max(f.nodes[from].largest, size)
	if n := f.nodes[to]; n != nil {
		n.received += size
	}
}

func (f *fleet) deliver() {
	inFlight := f.inFlight
	f.inFlight = nil
	for _, o := range inFlight {
		n := f.nodes[o.To]
		switch {
		case o.due.After(f.now), n != nil && n.paused:
			f.inFlight = append(f.inFlight, o)
		case n == nil, f.partitioned && f.sideA[o.from] != f.sideA[o.To], f.random.Float64() < f.lossRate:
		default:
			begin := time.Now()
			out := n.Handle(f.now, o.from, o.Message)
			n.processingTime += time.Since(begin)
			f.send(o.To, out)
		}
	}
}

// gossipPing is a ping that asks for no ack.
func gossipPing(from string, facts ...Fact) Message {
	g := &message.Gossip{}
	for _, fact := range facts {
		g.Facts = append(g.Facts, fact.toMessage())
	}
	return Message{From: from, Address: from, Ping: &message.Ping{Gossip: g}}
}
