package capacity

import (
	"time"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/objectstore"
	"github.com/fireflychute/fireflychute/pkg/operator"
	"github.com/fireflychute/fireflychute/testbed/fleet"
	"github.com/fireflychute/fireflychute/testbed/metastore"
)

const (
	// fleetTargets and fleetServices are small, so that one machine has enough CPU time for fleets
	// of 150 nodes in real time. The cost of more targets is measured at one node.
	fleetTargets  = 38
	fleetServices = 3
	// changeInterval is the time between configuration changes at 5,900 a day.
	changeInterval = 14600 * time.Millisecond
)

// runningFleet is a fleet of complete nodes that runs in real time.
type runningFleet struct {
	*fleet.Fleet
	changeCount int
}

// startFleet starts a fleet and waits until all nodes are ready and have the declaration. wrap,
// which may be nil, wraps the store of each node.
func startFleet(nodes int, wrap func(objectstore.Store) objectstore.Store) (*runningFleet, error) {
	l := &runningFleet{Fleet: fleet.New()}
	l.Platform = metastore.NewServer(metastore.New())
	l.WrapStore = wrap
	l.Start(nodes)
	l.PublishVMs(targetVMs(fleetTargets, fleetServices))
	code, result := l.Nodes[0].Apply(operator.ApplyRequest{Objects: operatorObjects(fleetServices)})
	if code != 200 {
		return nil, errors.Errorf("apply declaration: got status %d, expected 200", code)
	}
	if !fleet.WaitUntil(startTimeout, func() bool { return l.allReadyAt(result.Revision, l.Nodes) }) {
		return nil, errors.Wrapf(errNotStarted, "fleet of %d nodes", nodes)
	}
	return l, nil
}

// operatorObjects returns the objects of a declaration as an operator sends them, without
// generations.
func operatorObjects(services int) []api.Object {
	objects := declaration(services)
	for i := range objects {
		objects[i].Generation = 0
	}
	return objects
}

// applyChange applies a change of one work kind at a node and returns the new revision.
func (f *runningFleet) applyChange(node *fleet.Node) (uint64, error) {
	f.changeCount++
	object := withTimeout(operatorObjects(fleetServices)[firstWorkKindIndex], 1000+f.changeCount)
	code, result := node.Apply(operator.ApplyRequest{Objects: []api.Object{object}})
	if code != 200 {
		return 0, errors.Errorf("apply change of a work kind: got status %d, expected 200", code)
	}
	return result.Revision, nil
}

// allReadyAt reports whether all nodes are ready and have at least the revision.
func (f *runningFleet) allReadyAt(revision uint64, nodes []*fleet.Node) bool {
	for _, node := range nodes {
		if !node.Backend.Readiness().Ready || node.Revision() < revision {
			return false
		}
	}
	return true
}

// stop kills all nodes.
func (f *runningFleet) stop() {
	for _, node := range f.Nodes {
		f.Kill(node)
	}
}
