package capacity

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/message"
)

const (
	// tickingTime is how long a node is observed at tick rate.
	tickingTime = 2 * time.Second
	// factTime is how long facts arrive at factRate a second.
	factTime = time.Second
	factRate = 100
	// fetches is how many peers ask for the list of VMs.
	fetches = 100
	// newMembers is how many nodes join, joinPause apart, so that each is followed by
	// a snapshot.
	newMembers = 5
	joinPause  = 250 * time.Millisecond
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
	fact := Series{Name: "100 facts/s of targets, %"}
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
		rate := used.processor.Seconds() / seconds
		idle.Values = append(idle.Values, rate*100)
		garbage.Values = append(garbage.Values, used.kilobytes(seconds))
		built := n.controller.Counters().Snapshots()
		facts := int(factTime.Seconds() * factRate)
		fact.Values = append(fact.Values, n.costOf(facts, time.Second/factRate, 0, n.changeTarget)*factRate/1e6*100)
		if n.controller.Counters().Snapshots() == built {
			return errors.Errorf("facts changed nothing at a node of size %+v", s)
		}
		member.Values = append(member.Values, n.costOf(newMembers, joinPause, rate, func(i int) { n.introduce(s.nodes+i, 1) }))
		list.Values = append(list.Values, n.costOf(fetches, 0, 0, func(int) {
			n.controller.Deliver(peerName(1), message.Message{VmFetch: &message.VmFetch{}})
		}))
		n.stop()
	}
	r.Print(fmt.Sprintf("(b) control goroutine of a node, fleet of %d; services 3, 20, 80", nodes), "targets", xs, 0, idle, garbage, fact, member, list)
	return nil
}

// costOf returns the processor time of one change in microseconds, of changes that
// are a pause apart. idle is the processor time per second that is left out.
func (n *node) costOf(count int, pause time.Duration, idle float64, change func(i int)) float64 {
	n.wait()
	before := now()
	for i := range count {
		change(i)
		n.wait()
		time.Sleep(pause)
	}
	used := before.spent()
	return used.micros(float64(count)) - idle*float64(used.at.Sub(before.at).Microseconds())/float64(count)
}

// changeTarget raises the level of a target by a fact of a new incarnation.
func (n *node) changeTarget(i int) {
	address := n.targets[i%n.size.targets].Address
	n.deliver(&message.Gossip{Counted: n.size.nodes, Established: true, Facts: []message.Fact{{
		Key: "target/ramp/" + address, Epoch: uint64(2 + i), Version: 1, Value: fmt.Appendf(nil, `{"incarnation":"i%d","level":2}`, i),
	}}})
}
