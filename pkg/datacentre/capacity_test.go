package datacentre

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/configuration"
)

func newSet(slots int, centres map[string]api.DataCentreSpec) *configuration.Set {
	return &configuration.Set{Services: map[string]api.ServiceSpec{"s": {Slots: slots}}, DataCentres: centres}
}

func newSpec(state api.DataCentreState, policy api.CapacityPolicy) api.DataCentreSpec {
	return api.DataCentreSpec{State: state, CapacityPolicy: policy}
}

// Guards against a change that overloads or empties a service being accepted, and
// against one that does no harm being refused.
func TestCheckCapacity(t *testing.T) {
	in, out := newSpec(api.DataCentreStateIn, api.CapacityPolicyRefuse), newSpec(api.DataCentreStateOut, api.CapacityPolicyRefuse)
	outWarn := newSpec(api.DataCentreStateOut, api.CapacityPolicyWarn)
	both := map[string]api.DataCentreSpec{"a": in, "b": in}
	cases := []struct {
		name     string
		proposed *configuration.Set
		inFlight float64
		reason   string
		refuse   bool
	}{
		{"load fits the rest", newSet(6, map[string]api.DataCentreSpec{"a": in, "b": out}), 9, "", false},
		{"load exceeds the rest", newSet(6, map[string]api.DataCentreSpec{"a": in, "b": out}), 10, ReasonTooLittleCapacity, true},
		{"policy Warn", newSet(6, map[string]api.DataCentreSpec{"a": in, "b": outWarn}), 10, ReasonTooLittleCapacity, false},
		{"all out, idle", newSet(6, map[string]api.DataCentreSpec{"a": out, "b": outWarn}), 0, ReasonNoCapacity, true},
		{"deleted", newSet(6, map[string]api.DataCentreSpec{"a": in}), 10, ReasonTooLittleCapacity, true},
		{"slots lowered", newSet(1, both), 10, ReasonTooLittleCapacity, true},
		{"nothing changed under overload", newSet(6, both), 100, "", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			load := map[string]ServiceLoad{"s": {InFlight: c.inFlight, Targets: map[string]int{"a": 2, "b": 2}}}
			problems := CheckCapacity(newSet(6, both), c.proposed, load)
			if c.reason == "" {
				g.Expect(problems).To(BeEmpty())
				return
			}
			g.Expect(problems).To(HaveLen(1))
			g.Expect(problems[0].Reason).To(Equal(c.reason))
			g.Expect(problems[0].Blocking).To(Equal(c.refuse))
		})
	}
	NewWithT(t).Expect(CheckCapacity(nil, newSet(6, both), nil)).To(BeEmpty())
}
