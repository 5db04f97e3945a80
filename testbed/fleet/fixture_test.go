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
	// applyLimit is the time in which a change must be in force everywhere.
	applyLimit = 16 * time.Second
	// drainLimit bounds how long a part that leaves may receive new work.
	drainLimit = 5 * time.Second
	// startLimit is enough for a fleet to start.
	startLimit = 30 * time.Second
	service    = "label-text"
	newVersion = "v2"
)

// withFleet runs a test under fake time with a started fleet.
func withFleet(t *testing.T, nodes int, test func(g *WithT, f *fleet.Fleet)) {
	withPreparedFleet(t, nodes, func(*fleet.Fleet) {}, test)
}

// withPreparedFleet also prepares the fleet before its nodes start.
func withPreparedFleet(t *testing.T, nodes int, prepare func(f *fleet.Fleet), test func(g *WithT, f *fleet.Fleet)) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := fleet.New()
		prepare(f)
		f.Start(nodes)
		f.PublishVMs(append(fleet.Targets(service, "v1", 0, 12), fleet.Targets(service, newVersion, 100, 6)...))
		defer f.StopAll()
		code, result := f.Nodes[0].Apply(declaration())
		g.Expect(code).To(Equal(200))
		g.Expect(fleet.WaitUntil(startLimit, func() bool { return allReady(f) && allHaveRevision(f, result.Revision) })).To(BeTrue(), "fleet did not start")
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

func allHaveRevision(f *fleet.Fleet, revision uint64) bool {
	for _, node := range f.Nodes {
		if node.Revision() < revision {
			return false
		}
	}
	return true
}

// activeTargets returns the targets that may receive new work at a node with units.
func activeTargets(node *fleet.Node) []*snapshot.Target {
	active := []*snapshot.Target{}
	current := node.Published.Load()
	if current == nil || len(current.Routes) == 0 {
		return active
	}
	for _, version := range current.Routes[0].Service.Versions {
		if version.Share == 0 {
			continue
		}
		active = append(active, version.Targets...)
	}
	return active
}

// hasActiveTarget tells whether some node may send new work to a target that matches.
func hasActiveTarget(f *fleet.Fleet, match func(*snapshot.Target) bool) bool {
	for _, node := range f.Nodes {
		for _, target := range activeTargets(node) {
			if match(target) && !target.Counters.Leaving.Load() {
				return true
			}
		}
	}
	return false
}
