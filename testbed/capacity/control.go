package capacity

import (
	"fmt"
	"time"

	"github.com/fireflychute/fireflychute/pkg/message"
)

const (
	// tickingTime is how long a node is observed at tick rate.
	tickingTime = 2 * time.Second
	// changes is how many changes of a kind are made.
	changes = 100
	// newMembers is how many nodes join one after the other.
	newMembers = 20
)

// ControlSizes are the targets and services at which the control goroutine is
// measured.
var ControlSizes = []size{{0, 38, 3}, {0, 400, 20}, {0, 1500, 80}}

// Control measures the processor time of a node's control goroutine, once for
// each size of the fleet.
func Control(r Report, fleets []int) error {
	for _, nodes := range fleets {
		err := controlAt(r, nodes)
		if err != nil {
			return err
		}
	}
	return nil
}

func controlAt(r Report, nodes int) error {
	xs := []float64{}
	idle := Series{Name: "tick rate, % of a core"}
	garbage := Series{Name: "allocated, KB/s"}
	fact := Series{Name: "one fact of a target, us"}
	member := Series{Name: "one new node, us"}
	list := Series{Name: "list for a peer, us"}
	for _, s := range ControlSizes {
		s.nodes = nodes
		server, err := newPlatform(s)
		if err != nil {
			return err
		}
		n, err := startNode(server, s)
		if err != nil {
			return err
		}
		before := now()
		time.Sleep(tickingTime)
		used := before.spent()
		seconds := used.at.Sub(before.at).Seconds()
		xs = append(xs, float64(s.targets))
		idle.Values = append(idle.Values, used.processor.Seconds()/seconds*100)
		garbage.Values = append(garbage.Values, used.kilobytes(seconds))
		fact.Values = append(fact.Values, n.costOf(changes, n.changeTarget))
		member.Values = append(member.Values, n.costOf(newMembers, func(i int) { n.introduce(s.nodes+i, 1) }))
		list.Values = append(list.Values, n.costOf(changes, func(int) {
			n.controller.Deliver(peerName(1), message.Message{VmFetch: &message.VmFetch{}})
		}))
		n.stop()
	}
	r.Print(fmt.Sprintf("(b) control goroutine of a node, fleet of %d; services 3, 20, 80", nodes), "targets", xs, 0, idle, garbage, fact, member, list)
	return nil
}

// costOf returns the processor time of one change in microseconds. Each change
// makes the node build a whole snapshot.
func (n *node) costOf(count int, change func(i int)) float64 {
	n.wait()
	before := now()
	for i := range count {
		change(i)
		n.wait()
	}
	return before.spent().micros(float64(count))
}

// changeTarget raises the incarnation of a target by a fact.
func (n *node) changeTarget(i int) {
	address := targetVMs(n.size.targets, n.size.services)[i%n.size.targets].Address
	n.deliver(&message.Gossip{Counted: n.size.nodes, Established: true, Facts: []message.Fact{{
		Key: "target/ramp/" + address, Epoch: uint64(2 + i), Version: 1, Value: fmt.Appendf(nil, `{"incarnation":"i%d","level":1}`, i),
	}}})
}
