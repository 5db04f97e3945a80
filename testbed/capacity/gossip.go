package capacity

import (
	"time"

	"github.com/fireflychute/fireflychute/testbed/fleet"
)

const (
	// idleDuration is how long a fleet without changes is measured.
	idleDuration = 5 * time.Second
	// restartInterval is the time between restarts in a busy minute: of 125 restarts a day, which are
	// one in 11 minutes on average, a busy minute has a tenth, 12.5.
	restartInterval   = 4800 * time.Millisecond
	restartsPerChange = 3 // in one changeInterval
)

// FleetSizes are the numbers of nodes at which gossip is measured.
var FleetSizes = []int{19, 50, 100, 150}

// nodeLoad is the network and CPU load of the nodes of a fleet.
type nodeLoad struct {
	meanSent, maxSent float64 // bytes per second: mean of the nodes, and of the busiest one
	cpuPercent        float64 // % of a core, mean of the nodes
}

// MeasureGossip measures the bytes sent and the CPU time per node, in an idle and in a busy fleet.
func MeasureGossip(r TablePrinter, nodes int) error {
	xs := []float64{}
	var idleLoads, busyLoads []nodeLoad
	for _, size := range FleetSizes {
		l, err := startFleet(size, nil)
		if err != nil {
			return err
		}
		idle, err := l.measureLoad(func() error { time.Sleep(idleDuration); return nil })
		if err != nil {
			return err
		}
		busy, err := l.measureLoad(l.runBusyInterval)
		if err != nil {
			return err
		}
		l.stop()
		xs = append(xs, float64(size))
		idleLoads, busyLoads = append(idleLoads, idle), append(busyLoads, busy)
	}
	printLoads(r, "(a) one node of an idle fleet", xs, nodes, idleLoads)
	printLoads(r, "(a) one node, a configuration change in 14.6 s and 12.5 restarts a minute", xs, nodes, busyLoads)
	return nil
}

func printLoads(r TablePrinter, title string, xs []float64, nodes int, loads []nodeLoad) {
	mean, highest, cpu := Series{Name: "sent, B/s, mean"}, Series{Name: "sent, B/s, busiest node"}, Series{Name: "% of a core, all of the control"}
	for _, load := range loads {
		mean.Values = append(mean.Values, load.meanSent)
		highest.Values = append(highest.Values, load.maxSent)
		cpu.Values = append(cpu.Values, load.cpuPercent)
	}
	r.PrintFit(title, "nodes", xs, float64(nodes), mean, highest, cpu)
}

// measureLoad runs activity and returns the load of the nodes during it.
func (f *runningFleet) measureLoad(activity func() error) (nodeLoad, error) {
	sent := map[string]uint64{}
	for _, node := range f.Nodes {
		sent[node.Name] = f.BytesSent(node)
	}
	before := currentUsage()
	err := activity()
	used := before.untilNow()
	seconds, count := used.at.Sub(before.at).Seconds(), float64(len(f.Nodes))
	result := nodeLoad{cpuPercent: used.cpuTime.Seconds() / seconds / count * 100}
	for _, node := range f.Nodes {
		rate := float64(f.BytesSent(node)-sent[node.Name]) / seconds
		result.meanSent += rate / count
		result.maxSent = max(result.maxSent, rate)
	}
	return result, err
}

// runBusyInterval makes one configuration change and restarts a target and two nodes. It takes
// changeInterval.
func (f *runningFleet) runBusyInterval() error {
	_, err := f.applyChange(f.Nodes[0])
	if err != nil {
		return err
	}
	vms := targetVMs(fleetTargets, fleetServices)
	f.PublishVMs(vms[1:]) // without the first target, which restarts and is in the next list again
	for i := range restartsPerChange {
		time.Sleep(restartInterval)
		if i == 0 {
			f.PublishVMs(vms)
			continue
		}
		f.restart(f.Nodes[len(f.Nodes)-i])
	}
	time.Sleep(changeInterval - restartsPerChange*restartInterval)
	return nil
}

func (f *runningFleet) restart(node *fleet.Node) {
	f.Kill(node)
	f.Restart(node)
}
