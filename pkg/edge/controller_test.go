package edge

import (
	"sync/atomic"

	"github.com/fireflychute/fireflychute/pkg/quota"
	"github.com/fireflychute/fireflychute/pkg/topology"
	"github.com/fireflychute/fireflychute/pkg/transport"
)

// newTestController returns a controller whose limits no other node shares.
func newTestController(options Options, published *atomic.Pointer[topology.Topology], client *transport.Client) *controller {
	limits := quota.NewTable(func(quota.Change) {})
	return newController(options, published, client, limits, quota.NewAllocator(options.Settings.Node, limits, nil))
}
