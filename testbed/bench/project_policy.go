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
	factDelay       = 50 * time.Millisecond // until a published fact has reached all nodes
	service         = "service"
)

var epoch = time.Unix(1_000_000, 0)

// projectPolicy simulates nodes that route requests with the project's own packages (admission,
// balance, share and targets).
type projectPolicy struct {
	run         *run
	names       []string
	targetIndex map[string]int // index of a target by address
	services    map[string]api.ServiceSpec
	nodes       []*node
}

type node struct {
	policy     *projectPolicy
	name       string
	index      int
	registry   *targets.Registry
	entries    []targets.Entry
	units      []int
	candidates []balance.Candidate
	queue      *admission.Queue
	waiting    map[*admission.Ticket]*request
}

func newProjectPolicy(r *run) policy {
	d := &projectPolicy{run: r, targetIndex: map[string]int{}, services: map[string]api.ServiceSpec{service: r.scenario.Spec}}
	list := api.VMList{Version: 1}
	for i := range r.scenario.Targets {
		address := fmt.Sprintf("10.0.0.%d:80", i)
		d.targetIndex[address] = i
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

// newNode returns a node at which all targets are warm, as after a long run.
func (p *projectPolicy) newNode(index int, list api.VMList) *node {
	spec := p.run.scenario.Spec
	n := &node{policy: p, name: p.names[index], index: index, registry: targets.NewRegistry(p.names[index]), waiting: map[*admission.Ticket]*request{}}
	n.registry.ApplyList(epoch, list)
	for address := range p.targetIndex {
		warm := fmt.Sprintf(`{"incarnation":"i0","level":%d}`, spec.Slots+spec.Queue)
		n.registry.ApplyFact(epoch, targets.Fact{Key: targets.KeyRamp + address, Epoch: 1, Version: 1, Value: []byte(warm)})
	}
	n.collect()
	total := 0
	for _, units := range n.units {
		total += units
	}
	n.queue = admission.NewQueue(max(total/2, minQueueLength))
	p.run.clock.schedule(time.Duration(index)*time.Millisecond, n.tick)
	return n
}

// minQueueLength is the lower bound of a node's queue length, for nodes with few units. Otherwise
// the length is half the number of the node's units: a queue as long as the number of units adds
// 10 ms to the 99th percentile at 85 percent load and rejects only 5 percent less.
const minQueueLength = 8

func (n *node) tick() {
	n.collect()
	n.dispatch()
	n.policy.run.clock.schedule(collectInterval, n.tick)
}

func (n *node) now() time.Time {
	return epoch.Add(n.policy.run.clock.now)
}

// collect publishes the facts that changed at this node and recomputes its units.
func (n *node) collect() {
	facts := n.registry.Collect(n.now(), n.policy.names, n.policy.services)
	if len(facts) > 0 {
		n.policy.run.clock.schedule(factDelay, func() { n.policy.propagateFacts(n, facts) })
	}
	n.refreshUnits()
}

func (p *projectPolicy) propagateFacts(from *node, facts []targets.Fact) {
	for _, n := range p.nodes {
		if n == from {
			continue
		}
		for _, fact := range facts {
			n.registry.ApplyFact(n.now(), fact)
		}
		n.refreshUnits()
		n.dispatch()
	}
}

func (n *node) refreshUnits() {
	n.entries = n.registry.Entries()
	n.units = n.units[:0]
	for _, e := range n.entries {
		units := 0
		if !e.Leaving {
			units = share.Units(e.Address, n.name, n.policy.names, e.Units)
		}
		n.units = append(n.units, units)
	}
}

func (p *projectPolicy) start(q *request) {
	n := p.nodes[q.node]
	ticket, evicted, rejection := n.queue.Push(n.now(), admission.Request{
		Caller: q.caller, CallerWeight: 1, Kind: "lookup", KindWeight: 1, Deadline: epoch.Add(q.at + timeout),
	})
	if rejection != nil {
		p.forward(q)
		return
	}
	n.waiting[ticket] = q
	if evicted != nil {
		p.forward(n.waiting[evicted])
		delete(n.waiting, evicted)
	}
	n.dispatch()
}

// forward sends a request for which a node's queue has no room to a random node. A request is
// forwarded at most once; after that it is rejected.
func (p *projectPolicy) forward(q *request) {
	if q.forwarded {
		p.run.respond(q, rejected)
		return
	}
	q.forwarded = true
	from := q.node
	q.node = p.run.random.IntN(len(p.nodes))
	delay := p.run.oneWayDelay(from, q.node)
	q.returnDelay = delay
	p.run.clock.schedule(delay, func() { p.start(q) })
}

func (n *node) reject(ticket *admission.Ticket) {
	if ticket != nil {
		n.policy.run.respond(n.waiting[ticket], rejected)
		delete(n.waiting, ticket)
	}
}

// dispatch sends queued requests while there are free units.
func (n *node) dispatch() {
	for n.queue != nil && n.queue.Len() > 0 {
		n.fillCandidates()
		chosen, _, ok := balance.Choose(n.candidates, n.policy.run.scenario.Spec.Slots, n.policy.run.random)
		if !ok {
			return
		}
		ticket, expired := n.queue.Pop(n.now())
		for _, overdue := range expired {
			n.reject(overdue)
		}
		if ticket == nil {
			return
		}
		q := n.waiting[ticket]
		delete(n.waiting, ticket)
		entry := n.entries[chosen]
		entry.Counters.InFlight.Add(1)
		entry.Counters.Sent.Add(1)
		n.policy.run.send(q, n.policy.targetIndex[entry.Address])
	}
}

// fillCandidates rebuilds the candidates from the counters of the targets.
func (n *node) fillCandidates() {
	n.candidates = n.candidates[:0]
	now := int64(n.policy.run.clock.now)
	for i, e := range n.entries {
		c := balance.Candidate{
			Units: n.units[i], InFlight: int(e.Counters.InFlight.Load()), ReportAge: -1,
			LatencyMicros: e.Counters.LatencyMicros.Load(), Local: n.policy.run.isLocal(n.index, n.policy.targetIndex[e.Address]),
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

func (p *projectPolicy) complete(q *request, v outcome) {
	n := p.nodes[q.node]
	entry := n.entry(q.target)
	entry.Counters.InFlight.Add(-1)
	if v != rejected {
		reference := int64(p.run.scenario.Spec.ReferenceLatencyMs) * 1000
		entry.Counters.RecordResponse(p.run.clock.now-q.sentAt, v != served, reference)
	}
	if v == broken {
		entry.Counters.RecordBrokenConnection(int64(p.run.clock.now))
		n.dispatch()
		return
	}
	report := p.run.targets[q.target].report()
	report.ArrivedNanos = int64(p.run.clock.now)
	entry.Counters.RecordReport(&report)
	if report.Incarnation != entry.Incarnation {
		n.collect() // without waiting for the next tick; pkg/control collects at its ticks only
	}
	n.dispatch()
}

func (n *node) entry(to int) targets.Entry {
	for _, e := range n.entries {
		if n.policy.targetIndex[e.Address] == to {
			return e
		}
	}
	panic("target is not in the registry")
}
