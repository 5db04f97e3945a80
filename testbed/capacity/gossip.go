package capacity

import (
	"time"

	"github.com/fireflychute/fireflychute/testbed/fleet"
)

const (
	// idleTime is how long a fleet is observed without a change.
	idleTime = 5 * time.Second
	// restartPause is the time between restarts in a busy minute. 125 a day are one in
	// 11 minutes; a busy minute has a tenth of the day's.
	restartPause = 4800 * time.Millisecond
	restarts     = 3 // in one changeInterval
)

// FleetSizes are the fleets at which gossip is measured.
var FleetSizes = []int{19, 50, 100, 150}

// load is what one node of a fleet sends and computes.
type load struct {
	mean, most float64 // bytes per second
	processor  float64 // % of a core
}

// Gossip measures bytes between nodes and processor time per node.
func Gossip(r Report, nodes int) error {
	xs := []float64{}
	var idleLoads, busyLoads []load
	for _, size := range FleetSizes {
		l, err := startFleet(size, nil)
		if err != nil {
			return err
		}
		idle, err := l.observe(func() error { time.Sleep(idleTime); return nil })
		if err != nil {
			return err
		}
		busy, err := l.observe(l.busy)
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

func printLoads(r Report, title string, xs []float64, nodes int, loads []load) {
	mean, most, processor := Series{Name: "sent, B/s, mean"}, Series{Name: "sent, B/s, busiest node"}, Series{Name: "% of a core, all of the control"}
	for _, one := range loads {
		mean.Values = append(mean.Values, one.mean)
		most.Values = append(most.Values, one.most)
		processor.Values = append(processor.Values, one.processor)
	}
	r.Print(title, "nodes", xs, float64(nodes), mean, most, processor)
}

// observe returns the load of a node while something happens.
func (l *live) observe(during func() error) (load, error) {
	sent := map[string]uint64{}
	for _, node := range l.Nodes {
		sent[node.Name] = l.BytesSent(node)
	}
	before := now()
	err := during()
	used := before.spent()
	seconds, count := used.at.Sub(before.at).Seconds(), float64(len(l.Nodes))
	result := load{processor: used.processor.Seconds() / seconds / count * 100}
	for _, node := range l.Nodes {
		rate := float64(l.BytesSent(node)-sent[node.Name]) / seconds
		result.mean += rate / count
		result.most = max(result.most, rate)
	}
	return result, err
}

// busy makes one configuration change and restarts a target and two nodes, in the
// time between two changes.
func (l *live) busy() error {
	_, err := l.change(l.Nodes[0])
	if err != nil {
		return err
	}
	vms := targetVMs(liveTargets, liveServices)
	l.PublishVMs(vms[1:]) // one target is gone; it returns with the next list
	for i := range restarts {
		time.Sleep(restartPause)
		if i == 0 {
			l.PublishVMs(vms)
			continue
		}
		l.restart(l.Nodes[len(l.Nodes)-i])
	}
	time.Sleep(changeInterval - restarts*restartPause)
	return nil
}

func (l *live) restart(node *fleet.Node) {
	l.Kill(node)
	l.Restart(node)
}
