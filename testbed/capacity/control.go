package capacity

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/message"
)

const (
	// tickDuration is how long a node is measured that has no events but its periodic ticks.
	tickDuration = 2 * time.Second
	// factDuration is how long facts arrive at factRate per second.
	factDuration = time.Second
	factRate     = 100
	// vmListFetches is the number of peer requests for the VM list.
	vmListFetches = 100
	// joiningNodes is the number of nodes that join, joinInterval apart, so that each join is
	// followed by a snapshot of its own.
	joiningNodes = 5
	joinInterval = 250 * time.Millisecond
)

// ControlSizes are the numbers of targets and services at which the control goroutine is measured.
// The number of nodes is set for each fleet.
var ControlSizes = []stateSize{{0, 38, 3}, {0, 400, 20}, {0, 1500, 80}}

// MeasureControl measures the CPU time of a node's control goroutine, once for each size of the
// fleet.
func MeasureControl(r TablePrinter, fleets []int) error {
	for _, nodes := range fleets {
		err := measureControlAt(r, nodes)
		if err != nil {
			return err
		}
	}
	return nil
}

func measureControlAt(r TablePrinter, nodes int) error {
	xs := []float64{}
	idle := Series{Name: "tick rate, % of a core"}
	allocated := Series{Name: "allocated, KB/s"}
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
		before := currentUsage()
		time.Sleep(tickDuration)
		used := before.untilNow()
		seconds := used.at.Sub(before.at).Seconds()
		xs = append(xs, float64(s.targets))
		idleCores := used.cpuTime.Seconds() / seconds
		idle.Values = append(idle.Values, idleCores*100)
		allocated.Values = append(allocated.Values, used.allocatedKB(seconds))
		snapshotsBefore := n.controller.Counters().Snapshots()
		facts := int(factDuration.Seconds() * factRate)
		fact.Values = append(fact.Values, n.cpuPerChange(facts, time.Second/factRate, 0, n.raiseTargetLevel)*factRate/1e6*100)
		if n.controller.Counters().Snapshots() == snapshotsBefore {
			return errors.Errorf("measure facts at a node of size %+v: no new snapshot was published", s)
		}
		member.Values = append(member.Values, n.cpuPerChange(joiningNodes, joinInterval, idleCores, func(i int) { n.addPeers(s.nodes+i, 1) }))
		list.Values = append(list.Values, n.cpuPerChange(vmListFetches, 0, 0, func(int) {
			n.controller.Deliver(peerName(1), message.Message{VmFetch: &message.VmFetch{}})
		}))
		n.stop()
	}
	r.PrintFit(fmt.Sprintf("(b) control goroutine of a node, fleet of %d; services 3, 20, 80", nodes), "targets", xs, 0, idle, allocated, fact, member, list)
	return nil
}

// cpuPerChange makes changes at an interval and returns the CPU time per change in microseconds.
// The CPU time of an idle node, idleCores seconds per second, is subtracted.
func (n *node) cpuPerChange(count int, interval time.Duration, idleCores float64, change func(i int)) float64 {
	n.waitHandled()
	before := currentUsage()
	for i := range count {
		change(i)
		n.waitHandled()
		time.Sleep(interval)
	}
	used := before.untilNow()
	return used.cpuMicros(float64(count)) - idleCores*float64(used.at.Sub(before.at).Microseconds())/float64(count)
}

// raiseTargetLevel delivers a fact that sets the ramp level of a target's new incarnation.
func (n *node) raiseTargetLevel(i int) {
	address := n.targets[i%n.size.targets].Address
	n.deliverGossip(&message.Gossip{Counted: n.size.nodes, Established: true, Facts: []message.Fact{{
		Key: "target/ramp/" + address, Epoch: uint64(2 + i), Version: 1, Value: fmt.Appendf(nil, `{"incarnation":"i%d","level":2}`, i),
	}}})
}
