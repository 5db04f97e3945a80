package fleet_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/testbed/fleet"
	"github.com/fireflychute/fireflychute/testbed/metastore"
)

// Guards against a node that never starts because the blobs of a large
// configuration cannot be read from a slow platform within the limit of one attempt.
func TestLargeConfigurationIsReadFromSlowPlatform(t *testing.T) {
	const routes = 100
	const delay = 50 * time.Millisecond // with 100 blobs beyond the limit of 3 s
	withFleet(t, 1, func(g *WithT, f *fleet.Fleet) {
		request := declaration()
		for i := range routes {
			request.Objects = append(request.Objects, object(api.KindRoute, fmt.Sprintf("route-%d", i), api.RouteSpec{
				PathPrefix: fmt.Sprintf("/labels/%d", i), Service: service, WorkKind: "lookup",
			}))
		}
		code, result := f.Nodes[0].Apply(request)
		g.Expect(code).To(Equal(200))
		f.Kill(f.Nodes[0])
		f.Platform.SetFaults(metastore.Faults{DelayMs: int(delay.Milliseconds())})
		f.Restart(f.Nodes[0])
		g.Expect(fleet.WaitUntil(startLimit, func() bool { return allReady(f) && allHaveRevision(f, result.Revision) })).To(BeTrue())
	})
}
