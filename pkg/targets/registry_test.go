package targets

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/internal/faultmatrix"
	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/share"
)

// Guards against a node that keeps sending to a target that only a peer saw leaving, and against
// a delayed fact of a peer that marks the next incarnation as leaving.
func TestFactsPropagate(t *testing.T) {
	g := NewWithT(t)
	a, b := NewRegistry("node-0"), NewRegistry("node-1")
	b.ApplyList(start, listOf(1, api.VMStateLive))
	a.ApplyList(start, listOf(1, api.VMStateLive))
	a.Entries()[0].Counters.RecordReport(&Report{Incarnation: "i1", Draining: true})
	leaving := a.Collect(start, fleetOf(2), specs(1))
	g.Expect(leaving).NotTo(BeEmpty())
	for _, fact := range leaving {
		b.ApplyFact(start, fact)
	}
	g.Expect(b.Entries()[0].Leaving).To(BeTrue())
	b.ApplyHealthCheck(start, HealthCheckResult{Address: address, Report: Report{Incarnation: "i2"}})
	g.Expect(b.Entries()[0].Leaving).To(BeFalse())
	for _, fact := range append(leaving, Fact{Key: "ramp/" + address, Epoch: 9, Value: []byte("{")}) {
		b.ApplyFact(start, fact)
	}
	g.Expect(b.Entries()[0].Leaving).To(BeFalse())
	for _, fact := range b.Facts() {
		a.ApplyFact(start, fact)
	}
	g.Expect(a.Entries()[0].Leaving).To(BeFalse())
	g.Expect(a.Entries()[0].Units).To(Equal(1))
}

// Guards against a warm level that persists when a data centre returns to service, and against a
// node that raises the level without being the owner.
func TestLevelOfOwnerAndReset(t *testing.T) {
	g := NewWithT(t)
	owner, other := NewRegistry("node-0"), NewRegistry("node-9")
	for i, r := range []*Registry{owner, other} {
		r.ApplyList(start, listOf(1, api.VMStateLive))
		for step := range 200 {
			r.Entries()[0].Counters.RecordResponse(time.Millisecond, false, 20_000)
			r.Collect(start.Add(time.Duration(step)*time.Second), fleetOf(1 + 9*i)[:1], specs(1))
		}
	}
	g.Expect(owner.Entries()[0].Cold).To(BeFalse())
	g.Expect(owner.Entries()[0].Units).To(Equal(12))
	g.Expect(other.Entries()[0].Units).To(Equal(1))
	owner.ResetDataCentre(start, "a")
	g.Expect(owner.Entries()[0].Units).To(Equal(1))
}

// Guards against raising a level by requests that were sent at a lower level.
func TestRequestsSentAtLowerLevelAreNotCounted(t *testing.T) {
	g := NewWithT(t)
	r := NewRegistry("node-0")
	r.ApplyList(start, listOf(1, api.VMStateLive))
	counters := r.Entries()[0].Counters
	respond := func(n int) {
		for range n {
			counters.RecordResponse(time.Millisecond, false, 20_000)
		}
		r.Collect(start, fleetOf(1), specs(1))
	}
	counters.InFlight.Store(5)
	respond(8)
	g.Expect(r.Entries()[0].Units).To(Equal(2))
	respond(20)
	g.Expect(r.Entries()[0].Units).To(Equal(2))
	respond(1)
	g.Expect(r.Entries()[0].Units).To(Equal(4))
}

// Guards against a target that fails fast and therefore appears faster than the others, and
// against a single first failure that keeps traffic away from a target for seconds.
func TestFastFailuresCountAsSlow(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.TargetFailing, faultmatrix.RequestChoose)
	g := NewWithT(t)
	counters := &Counters{}
	counters.RecordResponse(time.Millisecond, true, 20_000)
	g.Expect(counters.LatencyMicros.Load()).To(BeNumerically("<", 150_000), "average latency after one failure")
	for range 5 {
		counters.RecordResponse(time.Millisecond, true, 20_000)
	}
	g.Expect(counters.LatencyMicros.Load()).To(BeNumerically(">=", 100_000))
	for range 60 {
		counters.RecordResponse(time.Millisecond, false, 20_000)
	}
	g.Expect(counters.LatencyMicros.Load()).To(BeNumerically("<", 20_000))
}

// Guards against all nodes sending to a target that has just restarted, and against broken
// connections that keep new requests away from a target for long.
func TestBrokenConnectionHoldsNewRequests(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.TargetCold, faultmatrix.RequestChoose)
	g := NewWithT(t)
	counters, second := &Counters{}, time.Second.Nanoseconds()
	g.Expect(counters.IsOnHold(second)).To(BeFalse())
	counters.RecordBrokenConnection(second)
	g.Expect(counters.IsOnHold(second + 1)).To(BeTrue())
	g.Expect(counters.IsOnHold(2 * second)).To(BeFalse())
	counters.RecordBrokenConnection(2 * second)
	g.Expect(counters.IsOnHold(2 * second)).To(BeFalse())
	counters.RecordBrokenConnection(4 * second)
	g.Expect(counters.IsOnHold(4 * second)).To(BeTrue())
	r := NewRegistry("node-0")
	r.ApplyList(start, listOf(1, api.VMStateLive))
	r.Collect(start, fleetOf(1), specs(1))
	r.Entries()[0].Counters.RecordBrokenConnection(second)
	g.Expect(r.Entries()[0].Counters.IsOnHold(second)).To(BeFalse())
}

// Guards against a target that refuses connections and stays in service for minutes, because in a
// large fleet the confirm budget of one node allows a check only every few minutes.
func TestRankedNodeConfirmsAtOnce(t *testing.T) {
	g := NewWithT(t)
	nodes := fleetOf(100)
	r := NewRegistry(share.Ranked(address, nodes)[1])
	r.ApplyList(start, listOf(1, api.VMStateLive))
	counters := r.Entries()[0].Counters
	for second := range 10 {
		counters.Sent.Add(1)
		g.Expect(r.DueHealthChecks(start.Add(time.Duration(second)*time.Second), nodes, specs(2))).To(BeEmpty())
	}
	counters.Sent.Add(1)
	counters.Refused.Add(1)
	g.Expect(r.DueHealthChecks(start.Add(10*time.Second), nodes, specs(2))).To(HaveLen(1))
	r.ApplyHealthCheck(start, HealthCheckResult{Address: address, Failed: true})
	g.Expect(r.Entries()[0].Leaving).To(BeTrue())
}
