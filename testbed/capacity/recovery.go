package capacity

import (
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/fireflychute/fireflychute/testbed/fleet"
)

const (
	recoveryNodes = 60
	rackNodes     = 6
	// partitionDuration is longer than the leases, so that both sides reach a steady state.
	partitionDuration = 15 * time.Second
)

// MeasureRecovery measures, for each kind of failure, the time until a configuration change made
// right after the failure is in force at all remaining nodes.
func MeasureRecovery(r TablePrinter) error {
	l, err := startFleet(recoveryNodes, nil)
	if err != nil {
		return err
	}
	defer l.stop()
	steps := []struct {
		name string
		run  func() (float64, error)
	}{
		{"no failure", func() (float64, error) { return l.changeSeconds(l.Nodes) }},
		{"a node that watches dies", l.killWatcher},
		{"6 nodes die, the other watchers among them", l.killRack},
		{"a data centre (a third of the nodes) dies", l.killDataCentre},
		{"two halves apart for 15 s, change made meanwhile; time from the end", l.partition},
		{"a node restarts; time until it is ready", l.restartSeconds},
	}
	rows := []table.Row{}
	for _, step := range steps {
		seconds, err := step.run()
		if err != nil {
			return err
		}
		rows = append(rows, table.Row{step.name, formatNumber(seconds)})
		l.restartKilled()
	}
	r.PrintRows("(i) 60 nodes: time until a change is in force everywhere, s (60 = not within a minute)", table.Row{"failure", "seconds"}, rows)
	return nil
}

// changeSeconds makes a change at the last of nodes and returns the seconds until it is in force at
// all of them, at most startTimeout.
func (l *runningFleet) changeSeconds(nodes []*fleet.Node) (float64, error) {
	start := time.Now()
	revision, err := l.applyChange(nodes[len(nodes)-1])
	fleet.WaitUntil(startTimeout, func() bool { return l.allReadyAt(revision, nodes) })
	return time.Since(start).Seconds(), err
}

// killAndChange kills the matching nodes and returns the seconds until a change is in force at the
// others.
func (l *runningFleet) killAndChange(match func(*fleet.Node) bool) (float64, error) {
	remaining := []*fleet.Node{}
	for _, node := range l.Nodes {
		if match(node) {
			l.Kill(node)
			continue
		}
		remaining = append(remaining, node)
	}
	return l.changeSeconds(remaining)
}

func (l *runningFleet) killWatcher() (float64, error) {
	watcher := l.watchers()[0]
	return l.killAndChange(func(node *fleet.Node) bool { return node == watcher })
}

func (l *runningFleet) killRack() (float64, error) {
	killed := map[*fleet.Node]bool{}
	for _, node := range append(l.watchers(), l.Nodes...) {
		if len(killed) < rackNodes {
			killed[node] = true
		}
	}
	return l.killAndChange(func(node *fleet.Node) bool { return killed[node] })
}

func (l *runningFleet) killDataCentre() (float64, error) {
	return l.killAndChange(func(node *fleet.Node) bool { return node.DataCentre == fleet.DataCentres[0] })
}

// partition splits the fleet into two halves, of which one cannot reach the platform, and returns
// the seconds from the end of the partition until a change made during it is in force at all nodes.
func (l *runningFleet) partition() (float64, error) {
	sides := map[string]int{}
	for _, node := range l.Nodes[:recoveryNodes/2] {
		sides[node.Address] = 1
		node.PlatformUnreachable.Store(true)
	}
	l.Partition(func(address string) int { return sides[address] })
	revision, err := l.applyChange(l.Nodes[recoveryNodes-1])
	time.Sleep(partitionDuration)
	for _, node := range l.Nodes {
		node.PlatformUnreachable.Store(false)
	}
	l.Heal()
	start := time.Now()
	fleet.WaitUntil(startTimeout, func() bool { return l.allReadyAt(revision, l.Nodes) })
	return time.Since(start).Seconds(), err
}

func (l *runningFleet) restartSeconds() (float64, error) {
	node := l.Nodes[recoveryNodes-1]
	l.restart(node)
	start := time.Now()
	fleet.WaitUntil(startTimeout, func() bool { return node.Backend.Readiness().Ready })
	return time.Since(start).Seconds(), nil
}

func (l *runningFleet) watchers() []*fleet.Node {
	watchers := []*fleet.Node{}
	for _, node := range l.Nodes {
		if node.Controller.Watching() {
			watchers = append(watchers, node)
		}
	}
	return watchers
}

// restartKilled restarts the killed nodes and waits until all nodes are ready.
func (l *runningFleet) restartKilled() {
	for _, node := range l.Nodes {
		if node.Stopped() {
			l.Restart(node)
		}
	}
	fleet.WaitUntil(startTimeout, func() bool { return l.allReadyAt(0, l.Nodes) })
}
