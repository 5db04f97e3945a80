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
func (f *runningFleet) changeSeconds(nodes []*fleet.Node) (float64, error) {
	start := time.Now()
	revision, err := f.applyChange(nodes[len(nodes)-1])
	fleet.WaitUntil(startTimeout, func() bool { return f.allReadyAt(revision, nodes) })
	return time.Since(start).Seconds(), err
}

// killAndChange kills the matching nodes and returns the seconds until a change is in force at the
// others.
func (f *runningFleet) killAndChange(match func(*fleet.Node) bool) (float64, error) {
	remaining := []*fleet.Node{}
	for _, node := range f.Nodes {
		if match(node) {
			f.Kill(node)
			continue
		}
		remaining = append(remaining, node)
	}
	return f.changeSeconds(remaining)
}

func (f *runningFleet) killWatcher() (float64, error) {
	watcher := f.watchers()[0]
	return f.killAndChange(func(node *fleet.Node) bool { return node == watcher })
}

func (f *runningFleet) killRack() (float64, error) {
	killed := map[*fleet.Node]bool{}
	for _, node := range append(f.watchers(), f.Nodes...) {
		if len(killed) < rackNodes {
			killed[node] = true
		}
	}
	return f.killAndChange(func(node *fleet.Node) bool { return killed[node] })
}

func (f *runningFleet) killDataCentre() (float64, error) {
	return f.killAndChange(func(node *fleet.Node) bool { return node.DataCentre == fleet.DataCentres[0] })
}

// partition splits the fleet into two halves, of which one cannot reach the platform, and returns
// the seconds from the end of the partition until a change made during it is in force at all nodes.
func (f *runningFleet) partition() (float64, error) {
	sides := map[string]int{}
	for _, node := range f.Nodes[:recoveryNodes/2] {
		sides[node.Address] = 1
		node.PlatformUnreachable.Store(true)
	}
	f.Partition(func(address string) int { return sides[address] })
	revision, err := f.applyChange(f.Nodes[recoveryNodes-1])
	time.Sleep(partitionDuration)
	for _, node := range f.Nodes {
		node.PlatformUnreachable.Store(false)
	}
	f.Heal()
	start := time.Now()
	fleet.WaitUntil(startTimeout, func() bool { return f.allReadyAt(revision, f.Nodes) })
	return time.Since(start).Seconds(), err
}

func (f *runningFleet) restartSeconds() (float64, error) {
	node := f.Nodes[recoveryNodes-1]
	f.restart(node)
	start := time.Now()
	fleet.WaitUntil(startTimeout, func() bool { return node.Backend.Readiness().Ready })
	return time.Since(start).Seconds(), nil
}

func (f *runningFleet) watchers() []*fleet.Node {
	watchers := []*fleet.Node{}
	for _, node := range f.Nodes {
		if node.Controller.Watching() {
			watchers = append(watchers, node)
		}
	}
	return watchers
}

// restartKilled restarts the killed nodes and waits until all nodes are ready.
func (f *runningFleet) restartKilled() {
	for _, node := range f.Nodes {
		if node.Stopped() {
			f.Restart(node)
		}
	}
	fleet.WaitUntil(startTimeout, func() bool { return f.allReadyAt(0, f.Nodes) })
}
