package bench

import (
	"fmt"
	"time"

	"github.com/fireflychute/fireflychute/pkg/admission"
	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/balance"
	"github.com/fireflychute/fireflychute/pkg/share"
	"github.com/fireflychute/fireflychute/pkg/targets"
)

const (
	collectInterval = 100 * time.Millisecond
	factDelay       = 50 * time.Millisecond // until a published fact is at all nodes
	service         = "service"
)

var epoch = time.Unix(1_000_000, 0)

// design runs the project's packages at each node.
type design struct {
	run      *run
	names    []string
	index    map[string]int // target by address
	services map[string]api.ServiceSpec
	nodes    []*node
}

type node struct {
	design     *design
	name       string
	at         int
	registry   *targets.Registry
	entries    []targets.Entry
	units      []int
	candidates []balance.Candidate
	queue      *admission.Queue
	waiting    map[*admission.Ticket]*request
}

func newDesign(r *run) policy {
	d := &design{run: r, index: map[string]int{}, services: map[string]api.ServiceSpec{service: r.scenario.Spec}}
	list := api.VMList{Version: 1}
	for i := range r.scenario.Targets {
		address := fmt.Sprintf("10.0.0.%d:80", i)
		d.index[address] = i
		list.VMs = append(list.VMs, api.VM{Address: address, Role: "target", Service: service, State: api.VMStateLive})
	}
	for i := range r.scenario.Nodes {
		d.names = append(d.names, fmt.Sprintf("node-%d", i))
	}
	for i := range d.names {
		d.nodes = append(d.nodes, d.newNode(i, list))
	}
	return d
}

// newNode returns a node that knows all targets as warm, as after a long run.
func (d *design) newNode(at int, list api.VMList) *node {
	spec := d.run.scenario.Spec
	n := &node{design: d, name: d.names[at], at: at, registry: targets.NewRegistry(d.names[at]), waiting: map[*admission.Ticket]*request{}}
	n.registry.ApplyList(epoch, list)
	for address := range d.index {
		warm := fmt.Sprintf(`{"incarnation":"i0","level":%d}`, spec.Slots+spec.Queue)
		n.registry.ApplyFact(epoch, targets.Fact{Key: targets.KeyRamp + address, Epoch: 1, Version: 1, Value: []byte(warm)})
	}
	n.collect()
	total := 0
	for _, units := range n.units {
		total += units
	}
	n.queue = admission.NewQueue(max(total/2, minQueue))
	d.run.clock.after(time.Duration(at)*time.Millisecond, n.tick)
	return n
}

// minQueue bounds the queue of a node with few units from below. Otherwise it is half
// of the node's units: a queue as long as all units adds 10 ms to the 99th percentile
// at 85 percent and refuses only 5 percent less.
const minQueue = 8

func (n *node) tick() {
	n.collect()
	n.dispatch()
	n.design.run.clock.after(collectInterval, n.tick)
}

func (n *node) now() time.Time {
	return epoch.Add(n.design.run.clock.now)
}

// collect publishes what changed and renews the units.
func (n *node) collect() {
	facts := n.registry.Collect(n.now(), n.design.names, n.design.services)
	if len(facts) > 0 {
		n.design.run.clock.after(factDelay, func() { n.design.spread(n, facts) })
	}
	n.refresh()
}

func (d *design) spread(from *node, facts []targets.Fact) {
	for _, n := range d.nodes {
		if n == from {
			continue
		}
		for _, fact := range facts {
			n.registry.ApplyFact(n.now(), fact)
		}
		n.refresh()
		n.dispatch()
	}
}

func (n *node) refresh() {
	n.entries = n.registry.Entries()
	n.units = n.units[:0]
	for _, e := range n.entries {
		units := 0
		if !e.Leaving {
			units = share.Units(e.Address, n.name, n.design.names, e.Units)
		}
		n.units = append(n.units, units)
	}
}

func (d *design) take(q *request) {
	n := d.nodes[q.node]
	ticket, evicted, refusal := n.queue.Push(n.now(), admission.Request{
		Caller: q.caller, CallerWeight: 1, Kind: "lookup", KindWeight: 1, Deadline: epoch.Add(q.at + timeout),
	})
	if refusal != nil {
		d.handOver(q)
		return
	}
	n.waiting[ticket] = q
	if evicted != nil {
		d.handOver(n.waiting[evicted])
		delete(n.waiting, evicted)
	}
	n.dispatch()
}

// handOver passes a request that a node has no room for to another node, once.
func (d *design) handOver(q *request) {
	if q.handedOver {
		d.run.close(q, refused)
		return
	}
	q.handedOver = true
	from := q.node
	q.node = d.run.random.IntN(len(d.nodes))
	delay := d.run.delay(from, q.node)
	q.back = delay
	d.run.clock.after(delay, func() { d.take(q) })
}

func (n *node) refuse(ticket *admission.Ticket) {
	if ticket != nil {
		n.design.run.close(n.waiting[ticket], refused)
		delete(n.waiting, ticket)
	}
}

// dispatch sends waiting requests while there are free units.
func (n *node) dispatch() {
	for n.queue != nil && n.queue.Len() > 0 {
		n.view()
		chosen, _, ok := balance.Choose(n.candidates, n.design.run.scenario.Spec.Slots, n.design.run.random)
		if !ok {
			return
		}
		ticket, expired := n.queue.Pop(n.now())
		for _, late := range expired {
			n.refuse(late)
		}
		if ticket == nil {
			return
		}
		q := n.waiting[ticket]
		delete(n.waiting, ticket)
		entry := n.entries[chosen]
		entry.Counters.InFlight.Add(1)
		entry.Counters.Sent.Add(1)
		n.design.run.send(q, n.design.index[entry.Address])
	}
}

// view fills the candidates from the counters.
func (n *node) view() {
	n.candidates = n.candidates[:0]
	now := int64(n.design.run.clock.now)
	for i, e := range n.entries {
		c := balance.Candidate{
			Units: n.units[i], InFlight: int(e.Counters.InFlight.Load()), ReportAge: -1,
			LatencyMicros: e.Counters.LatencyMicros.Load(), Local: n.design.run.local(n.at, n.design.index[e.Address]),
		}
		if e.Counters.IsOnHold(now) {
			c.Units = 0
		}
		if report := e.Counters.LastReport.Load(); report != nil {
			c.Reported = report.InFlight
			c.SentSince = int(e.Counters.Sent.Load() - report.SentBefore)
			c.ReportAge = time.Duration(now - report.ArrivedNanos)
		}
		n.candidates = append(n.candidates, c)
	}
}

func (d *design) done(q *request, v verdict) {
	n := d.nodes[q.node]
	entry := n.entry(q.target)
	entry.Counters.InFlight.Add(-1)
	if v != refused {
		reference := int64(d.run.scenario.Spec.ReferenceLatencyMs) * 1000
		entry.Counters.RecordResponse(d.run.clock.now-q.sentAt, v != served, reference)
	}
	if v == broken {
		entry.Counters.RecordBrokenConnection(int64(d.run.clock.now))
		n.dispatch()
		return
	}
	report := d.run.targets[q.target].report()
	report.ArrivedNanos = int64(d.run.clock.now)
	entry.Counters.RecordReport(&report)
	if report.Incarnation != entry.Incarnation {
		n.collect() // an urgent event at the control goroutine
	}
	n.dispatch()
}

func (n *node) entry(to int) targets.Entry {
	for _, e := range n.entries {
		if n.design.index[e.Address] == to {
			return e
		}
	}
	panic("target is not in the registry")
}
