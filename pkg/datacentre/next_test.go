package datacentre

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/api"
)

var startTime = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// Guards (P3) against a data centre that is reported as drained while a node still sends requests
// to it or has not reported, and against a second call with the same input that changes the status.
func TestOutCompletesOnlyWhenDrained(t *testing.T) {
	g := NewWithT(t)
	status := api.DataCentreStatus{}
	steps := []struct {
		observed Observation
		phase    api.Phase
		reason   string
	}{
		{Observation{UnreportedNodes: 1}, api.PhaseProgressing, ReasonNodesUnreported},
		{Observation{InFlight: 3, NewRequests: 1}, api.PhaseProgressing, ReasonNewWork},
		{Observation{InFlight: 3}, api.PhaseProgressing, ReasonInFlight},
		{Observation{}, api.PhaseCompleted, ReasonDrained},
		{Observation{NewRequests: 1}, api.PhaseProgressing, ReasonNewWork},
	}
	for i, s := range steps {
		now := startTime.Add(time.Duration(i) * time.Second)
		out := newSpec(api.DataCentreStateOut, api.CapacityPolicyRefuse)
		status, _ = Next(now, "n", 1, out, 1, status, s.observed)
		g.Expect(status.Phase).To(Equal(s.phase))
		g.Expect(status.Conditions[0].Reason).To(Equal(s.reason))
		g.Expect(status.InFlight).To(Equal(s.observed.InFlight))
		_, changed := Next(now.Add(time.Second), "n", 1, out, 1, status, s.observed)
		g.Expect(changed).To(BeFalse())
	}
	g.Expect(status.Decisions).To(HaveLen(4))
}

// Guards against a return to service that completes before its targets are warm, and against one
// that is reverted by a target that becomes cold later.
func TestInCompletesWhenWarm(t *testing.T) {
	g := NewWithT(t)
	in := newSpec(api.DataCentreStateIn, api.CapacityPolicyRefuse)
	status, _ := Next(startTime, "n", 1, in, 1, api.DataCentreStatus{}, Observation{Targets: 4, SaturatedColdTargets: 1, InFlight: 9})
	g.Expect(status.Phase).To(Equal(api.PhaseProgressing))
	status, _ = Next(startTime, "n", 1, in, 1, status, Observation{Targets: 4, InFlight: 9})
	g.Expect(status.Phase).To(Equal(api.PhaseCompleted))
	_, changed := Next(startTime, "n", 1, in, 1, status, Observation{Targets: 4, SaturatedColdTargets: 4})
	g.Expect(changed).To(BeFalse())
}

// Guards against a new leader that loses the status, and against writes under an older epoch or for
// an older generation.
func TestTakeoverKeepsStatus(t *testing.T) {
	g := NewWithT(t)
	out := newSpec(api.DataCentreStateOut, api.CapacityPolicyRefuse)
	before, _ := Next(startTime, "n", 1, out, 2, api.DataCentreStatus{}, Observation{InFlight: 3})
	after, changed := Next(startTime, "m", 2, out, 2, before, Observation{})
	g.Expect(changed).To(BeTrue())
	want := before
	want.Epoch = 2
	g.Expect(after).To(Equal(want))
	_, changed = Next(startTime, "n", 1, out, 2, after, Observation{})
	g.Expect(changed).To(BeFalse())
	_, changed = Next(startTime, "m", 2, out, 1, after, Observation{})
	g.Expect(changed).To(BeFalse())
}

// Guards against a return to service that completes before targets had enough requests to show
// whether their ramp limits them.
func TestInWaitsForEnoughObservations(t *testing.T) {
	g := NewWithT(t)
	in := newSpec(api.DataCentreStateIn, api.CapacityPolicyRefuse)
	status, _ := Next(startTime, "n", 1, in, 1, api.DataCentreStatus{}, Observation{Targets: 4, Unsettled: true})
	g.Expect(status.Phase).To(Equal(api.PhaseProgressing))
	g.Expect(status.Conditions[0].Reason).To(Equal(ReasonSettling))
	status, _ = Next(startTime, "n", 1, in, 1, status, Observation{Targets: 4})
	g.Expect(status.Phase).To(Equal(api.PhaseCompleted))
}
