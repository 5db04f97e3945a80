package edge

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflychute/fireflychute/pkg/catalog"
	"github.com/fireflychute/fireflychute/pkg/replica"
	"github.com/fireflychute/fireflychute/pkg/revision"
	"github.com/fireflychute/fireflychute/pkg/topology"
	"github.com/fireflychute/fireflychute/pkg/transport"
)

// benchCodec decodes objects without parsing, so that the benchmark measures the control
// state alone.
type benchCodec struct{ Codec }

func (benchCodec) Target(o replica.Object) (catalog.Target, error) {
	return catalog.Target{ID: o.Name, Address: o.Name, Service: "s", DataCentre: "dc" + o.Name[:1], Slots: 6}, nil
}

func (benchCodec) Node(o replica.Object) (catalog.Node, error) {
	return catalog.Node{Name: o.Name, Address: o.Name, DataCentre: "dc" + o.Name[:1]}, nil
}

func (benchCodec) Configuration(replica.Object) (*catalog.Configuration, error) {
	return &catalog.Configuration{Services: map[string]catalog.Service{"s": {Name: "s"}}}, nil
}

// BenchmarkChangeOfOneTarget measures the cost of one change at each node of a large fleet.
func BenchmarkChangeOfOneTarget(b *testing.B) {
	for _, size := range []struct{ targets, nodes int }{{38, 19}, {294, 107}, {809, 472}, {1500, 1000}} {
		b.Run(fmt.Sprintf("%d targets, %d nodes", size.targets, size.nodes), func(b *testing.B) {
			var published atomic.Pointer[topology.Topology]
			options := Options{Settings: Settings{Node: "0n", DataCentre: "dc0"}, Codec: benchCodec{}, Log: zerolog.Nop()}
			c := newTestController(options, &published, transport.NewClient())
			now := time.Now()
			c.storeSeenAt = now
			objects := func(count int, kind string) (all []replica.Object) {
				for i := range count {
					all = append(all, replica.Object{Name: fmt.Sprintf("%d%s%d", i%5, kind, i), Revision: revision.Decode(1), Created: revision.Decode(1)})
				}
				return all
			}
			for _, kind := range replica.Kinds() {
				c.replica.Replace(now, kind, revision.Decode(1), nil, false)
			}
			targets := objects(size.targets, "t")
			c.replica.Replace(now, replica.Targets, revision.Decode(2), targets, false)
			c.replica.Replace(now, replica.Nodes, revision.Decode(2), objects(size.nodes, "n"), false)
			c.replica.Replace(now, replica.Configurations, revision.Decode(2), objects(1, "c"), false)
			c.decode()
			c.publish(now)
			b.ResetTimer()
			for i := range b.N {
				changed := targets[i%len(targets)]
				changed.Revision = revision.Decode(uint64(3 + i))
				c.replica.Apply(now, replica.Targets, changed.Revision, []replica.Event{{Object: changed}}, false)
				c.decode()
				c.publish(now)
			}
		})
	}
}
