package datacentre

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/api"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// Guards against P3 being reported as reached while a node still sends or is not
// heard, and against a second call with the same input that changes something.
func TestOutCompletesOnlyWhenDrained(t *testing.T) {
	g := NewWithT(t)
	status := api.DataCentreStatus{}
	steps := []struct {
		observed Observed
		phase    api.Phase
		reason   string
	}{
		{Observed{Unreported: 1}, api.PhaseProgressing, ReasonNodesUnreported},
		{Observed{InFlight: 3, SentNew: 1}, api.PhaseProgressing, ReasonNewWork},
		{Observed{InFlight: 3}, api.PhaseProgressing, ReasonInFlight},
		{Observed{}, api.PhaseCompleted, ReasonDrained},
		{Observed{SentNew: 1}, api.PhaseProgressing, ReasonNewWork},
	}
	for i, s := range steps {
		now := start.Add(time.Duration(i) * time.Second)
		out := spec(api.DataCentreStateOut, api.CapacityPolicyRefuse)
		status, _ = Next(now, "n", 1, out, 1, status, s.observed)
		g.Expect(status.Phase).To(Equal(s.phase))
		g.Expect(status.Conditions[0].Reason).To(Equal(s.reason))
		g.Expect(status.InFlight).To(Equal(s.observed.InFlight))
		_, changed := Next(now.Add(time.Second), "n", 1, out, 1, status, s.observed)
		g.Expect(changed).To(BeFalse())
	}
	g.Expect(status.Decisions).To(HaveLen(4))
}

// Guards against a return that is done before its targets are warm, and against
// one that is undone by a target that becomes cold later.
func TestInCompletesWhenWarm(t *testing.T) {
	g := NewWithT(t)
	in := spec(api.DataCentreStateIn, api.CapacityPolicyRefuse)
	status, _ := Next(start, "n", 1, in, 1, api.DataCentreStatus{}, Observed{Targets: 4, Cold: 1, InFlight: 9})
	g.Expect(status.Phase).To(Equal(api.PhaseProgressing))
	status, _ = Next(start, "n", 1, in, 1, status, Observed{Targets: 4, InFlight: 9})
	g.Expect(status.Phase).To(Equal(api.PhaseCompleted))
	_, changed := Next(start, "n", 1, in, 1, status, Observed{Targets: 4, Cold: 4})
	g.Expect(changed).To(BeFalse())
}

// Guards against a takeover that loses the status, and against an old controller or configuration.
func TestTakeoverKeepsEverything(t *testing.T) {
	g := NewWithT(t)
	out := spec(api.DataCentreStateOut, api.CapacityPolicyRefuse)
	before, _ := Next(start, "n", 1, out, 2, api.DataCentreStatus{}, Observed{InFlight: 3})
	after, changed := Next(start, "m", 2, out, 2, before, Observed{})
	g.Expect(changed).To(BeTrue())
	want := before
	want.Epoch = 2
	g.Expect(after).To(Equal(want))
	_, changed = Next(start, "n", 1, out, 2, after, Observed{})
	g.Expect(changed).To(BeFalse())
	_, changed = Next(start, "m", 2, out, 1, after, Observed{})
	g.Expect(changed).To(BeFalse())
}

// Guards against a return that is done before any target had work to show its ramp.
func TestInWaitsUntilObserved(t *testing.T) {
	g := NewWithT(t)
	in := spec(api.DataCentreStateIn, api.CapacityPolicyRefuse)
	status, _ := Next(start, "n", 1, in, 1, api.DataCentreStatus{}, Observed{Targets: 4, Unsettled: true})
	g.Expect(status.Phase).To(Equal(api.PhaseProgressing))
	g.Expect(status.Conditions[0].Reason).To(Equal(ReasonSettling))
	status, _ = Next(start, "n", 1, in, 1, status, Observed{Targets: 4})
	g.Expect(status.Phase).To(Equal(api.PhaseCompleted))
}
