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
	// liveTargets and liveServices keep the fleets that run in real time small, so
	// that the processor time of 150 nodes fits on the machine. The cost of more
	// targets is measured at one node.
	liveTargets  = 38
	liveServices = 3
	// changeInterval is the time between changes at 5,900 a day.
	changeInterval = 14600 * time.Millisecond
)

// live is a fleet of whole nodes that runs in real time.
type live struct {
	*fleet.Fleet
	changes int
}

// startFleet starts a fleet and waits until all nodes are ready. wrap may be nil.
func startFleet(nodes int, wrap func(objectstore.Store) objectstore.Store) (*live, error) {
	l := &live{Fleet: fleet.New()}
	l.Platform = metastore.NewServer(metastore.New())
	l.WrapStore = wrap
	l.Start(nodes)
	l.PublishVMs(targetVMs(liveTargets, liveServices))
	code, result := l.Nodes[0].Apply(operator.ApplyRequest{Objects: declared(liveServices)})
	if code != 200 {
		return nil, errors.Errorf("declaration was refused with status %d", code)
	}
	if !fleet.WaitUntil(startLimit, func() bool { return l.inForce(result.Revision, l.Nodes) }) {
		return nil, errors.Wrapf(errNotStarted, "fleet of %d nodes", nodes)
	}
	return l, nil
}

// declared returns the objects of a declaration as an operator sends them.
func declared(services int) []api.Object {
	objects := declaration(services)
	for i := range objects {
		objects[i].Generation = 0
	}
	return objects
}

// change applies a change at a node and returns its revision.
func (l *live) change(at *fleet.Node) (uint64, error) {
	l.changes++
	object := changedKind(declared(liveServices)[firstWorkKind], 1000+l.changes)
	code, result := at.Apply(operator.ApplyRequest{Objects: []api.Object{object}})
	if code != 200 {
		return 0, errors.Errorf("change was refused with status %d", code)
	}
	return result.Revision, nil
}

// inForce tells that nodes are ready and have a revision.
func (l *live) inForce(revision uint64, nodes []*fleet.Node) bool {
	for _, node := range nodes {
		if !node.Backend.Readiness().Ready || node.Revision() < revision {
			return false
		}
	}
	return true
}

// stop ends all nodes.
func (l *live) stop() {
	for _, node := range l.Nodes {
		l.Kill(node)
	}
}
