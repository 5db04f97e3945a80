package capacity

import (
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/fireflychute/fireflychute/testbed/fleet"
)

const (
	recoveryNodes = 60
	rackNodes     = 6
	// cutTime is longer than the leases, so that both sides settle.
	cutTime = 15 * time.Second
)

// Recovery measures, after each kind of failure, how long a configuration change
// made at once takes until it is in force at all nodes that are left.
func Recovery(r Report) error {
	l, err := startFleet(recoveryNodes, nil)
	if err != nil {
		return err
	}
	defer l.stop()
	steps := []struct {
		name string
		run  func() (float64, error)
	}{
		{"no failure", func() (float64, error) { return l.changeTime(l.Nodes) }},
		{"a node that watches dies", l.loseWatcher},
		{"6 nodes die, the other watchers among them", l.loseRack},
		{"a data centre (a third of the nodes) dies", l.loseDataCentre},
		{"two halves apart for 15 s, change made meanwhile; time from the end", l.partition},
		{"a node restarts; time until it is ready", l.restartTime},
	}
	rows := []table.Row{}
	for _, step := range steps {
		seconds, err := step.run()
		if err != nil {
			return err
		}
		rows = append(rows, table.Row{step.name, number(seconds)})
		l.revive()
	}
	r.Rows("(i) 60 nodes: time until a change is in force everywhere, s (60 = not within a minute)", table.Row{"failure", "seconds"}, rows)
	return nil
}

// changeTime returns the seconds until a change is in force at nodes.
func (l *live) changeTime(nodes []*fleet.Node) (float64, error) {
	began := time.Now()
	revision, err := l.change(nodes[len(nodes)-1])
	fleet.WaitUntil(startLimit, func() bool { return l.inForce(revision, nodes) })
	return time.Since(began).Seconds(), err
}

// lose kills the nodes that match and returns the time of a change at the others.
func (l *live) lose(match func(*fleet.Node) bool) (float64, error) {
	left := []*fleet.Node{}
	for _, node := range l.Nodes {
		if match(node) {
			l.Kill(node)
			continue
		}
		left = append(left, node)
	}
	return l.changeTime(left)
}

func (l *live) loseWatcher() (float64, error) {
	watcher := l.watchers()[0]
	return l.lose(func(node *fleet.Node) bool { return node == watcher })
}

func (l *live) loseRack() (float64, error) {
	lost := map[*fleet.Node]bool{}
	for _, node := range append(l.watchers(), l.Nodes...) {
		if len(lost) < rackNodes {
			lost[node] = true
		}
	}
	return l.lose(func(node *fleet.Node) bool { return lost[node] })
}

func (l *live) loseDataCentre() (float64, error) {
	return l.lose(func(node *fleet.Node) bool { return node.DataCentre == fleet.DataCentres[0] })
}

// partition parts the nodes; one half does not reach the platform.
func (l *live) partition() (float64, error) {
	far := map[string]int{}
	for _, node := range l.Nodes[:recoveryNodes/2] {
		far[node.Address] = 1
		node.PlatformUnreachable.Store(true)
	}
	l.Partition(func(address string) int { return far[address] })
	revision, err := l.change(l.Nodes[recoveryNodes-1])
	time.Sleep(cutTime)
	for _, node := range l.Nodes {
		node.PlatformUnreachable.Store(false)
	}
	l.Heal()
	began := time.Now()
	fleet.WaitUntil(startLimit, func() bool { return l.inForce(revision, l.Nodes) })
	return time.Since(began).Seconds(), err
}

func (l *live) restartTime() (float64, error) {
	node := l.Nodes[recoveryNodes-1]
	l.restart(node)
	began := time.Now()
	fleet.WaitUntil(startLimit, func() bool { return node.Backend.Readiness().Ready })
	return time.Since(began).Seconds(), nil
}

func (l *live) watchers() []*fleet.Node {
	found := []*fleet.Node{}
	for _, node := range l.Nodes {
		if node.Controller.Watching() {
			found = append(found, node)
		}
	}
	return found
}

// revive starts the nodes that were killed and waits until all are ready.
func (l *live) revive() {
	for _, node := range l.Nodes {
		if node.Stopped() {
			l.Restart(node)
		}
	}
	fleet.WaitUntil(startLimit, func() bool { return l.inForce(0, l.Nodes) })
}
