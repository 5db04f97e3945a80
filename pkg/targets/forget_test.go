package targets

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/api"
)

// Guards against a target that gets no call for minutes after it was slow, because
// the fleet is much faster than the service's reference latency.
func TestLatencyOfIdleTargetDecays(t *testing.T) {
	g := NewWithT(t)
	r := NewRegistry("n")
	now := time.Unix(0, 0)
	services := map[string]api.ServiceSpec{"s": {Slots: 6, Queue: 6, ReferenceLatencyMs: 20}}
	r.ApplyList(now, api.VMList{Version: 1, VMs: []api.VM{{Address: "a", Role: "target", Service: "s", State: api.VMStateLive}}})
	counters := r.Entries()[0].Counters
	counters.RecordResponse(200*time.Millisecond, false, 20_000)
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		r.Collect(now, []string{"n"}, services)
	}
	g.Expect(counters.LatencyMicros.Load()).To(BeNumerically("<", 10_000))
}
