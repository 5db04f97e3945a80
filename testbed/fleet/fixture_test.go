package fleet_test

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/operator"
	"github.com/fireflychute/fireflychute/pkg/snapshot"
	"github.com/fireflychute/fireflychute/testbed/fleet"
)

const (
	// inForceLimit is the time in which a change must be in force everywhere.
	inForceLimit = 16 * time.Second
	// leaveLimit bounds how long a part that leaves may receive new work.
	leaveLimit = 5 * time.Second
	// joinTime is enough for a fleet to start.
	joinTime = 30 * time.Second
	service  = "label-text"
	newTest  = "v2"
)

// inFleet runs a test under fake time with a started fleet.
func inFleet(t *testing.T, nodes int, test func(g *WithT, f *fleet.Fleet)) {
	inFleetWith(t, nodes, func(*fleet.Fleet) {}, test)
}

// inFleetWith also prepares the fleet before its nodes start.
func inFleetWith(t *testing.T, nodes int, prepare func(f *fleet.Fleet), test func(g *WithT, f *fleet.Fleet)) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := fleet.New()
		prepare(f)
		f.Start(nodes)
		f.ListVMs(append(fleet.Targets(service, "v1", 0, 12), fleet.Targets(service, newTest, 100, 6)...))
		defer f.StopAll()
		code, result := f.Nodes[0].Apply(declaration())
		g.Expect(code).To(Equal(200))
		g.Expect(fleet.WaitUntil(joinTime, func() bool { return allReady(f) && allAt(f, result.Revision) })).To(BeTrue(), "fleet did not start")
		test(g, f)
	})
}

func object(kind, name string, spec any) api.Object {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return api.Object{Kind: kind, Name: name, Spec: raw, Status: json.RawMessage("null")}
}

func declaration() operator.ApplyRequest {
	return operator.ApplyRequest{Objects: []api.Object{
		object(api.KindDataCentre, "north", dataCentre(api.DataCentreStateIn)),
		object(api.KindDataCentre, "middle", dataCentre(api.DataCentreStateIn)),
		object(api.KindDataCentre, "south", dataCentre(api.DataCentreStateIn)),
		object(api.KindService, service, api.ServiceSpec{Slots: 6, Queue: 6, MaxConnections: 260, MeasuringBudget: 2, ReferenceLatencyMs: 20}),
		object(api.KindWorkKind, "lookup", api.WorkKindSpec{Idempotent: true, TimeoutMs: 500, Weight: 8}),
		object(api.KindRoute, "labels", api.RouteSpec{PathPrefix: "/labels", Service: service, WorkKind: "lookup"}),
	}}
}

func dataCentre(state api.DataCentreState) api.DataCentreSpec {
	return api.DataCentreSpec{State: state, CapacityPolicy: api.CapacityPolicyRefuse}
}

func workKind(timeoutMs int) operator.ApplyRequest {
	return operator.ApplyRequest{Objects: []api.Object{
		object(api.KindWorkKind, "lookup", api.WorkKindSpec{Idempotent: true, TimeoutMs: timeoutMs, Weight: 8}),
	}}
}

func allReady(f *fleet.Fleet) bool {
	for _, node := range f.Nodes {
		if !node.Backend.Readiness().Ready {
			return false
		}
	}
	return true
}

func allAt(f *fleet.Fleet, revision uint64) bool {
	for _, node := range f.Nodes {
		if node.Revision() < revision {
			return false
		}
	}
	return true
}

// targetsOf returns the targets that may receive new work at a node with units.
func targetsOf(node *fleet.Node) []*snapshot.Target {
	found := []*snapshot.Target{}
	view := node.Published.Load()
	if view == nil || len(view.Routes) == 0 {
		return found
	}
	for _, version := range view.Routes[0].Service.Versions {
		if version.Share == 0 {
			continue
		}
		found = append(found, version.Targets...)
	}
	return found
}

// anyTarget tells whether some node may send new work to a target that matches.
func anyTarget(f *fleet.Fleet, match func(*snapshot.Target) bool) bool {
	for _, node := range f.Nodes {
		for _, target := range targetsOf(node) {
			if match(target) && !target.Counters.Leaving.Load() {
				return true
			}
		}
	}
	return false
}
