package targets

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fireflychute/fireflychute/internal/faultmatrix"
	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/share"
)

const address = "10.0.0.1:80"

var start = time.Unix(1000, 0)

func listOf(version int, state api.VMState) api.VMList {
	return api.VMList{Version: version, VMs: []api.VM{{Address: address, Role: roleTarget, Service: "s", DataCentre: "a", State: state, Version: "v1"}}}
}

func specs(budget float64) map[string]api.ServiceSpec {
	return map[string]api.ServiceSpec{"s": {Slots: 6, Queue: 6, MeasuringBudget: budget, ReferenceLatencyMs: 20}}
}

func fleetOf(size int) []string {
	nodes := make([]string, size)
	for i := range nodes {
		nodes[i] = fmt.Sprintf("node-%d", i)
	}
	return nodes
}

// P1. Guards against a fleet that exceeds a target's measuring budget under refused connections,
// with nodes whose membership contains only themselves.
func TestP1ProbesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := fleetOf(rapid.IntRange(1, 30).Draw(t, "nodes"))
		budget := rapid.Float64Range(0.2, 20).Draw(t, "budget")
		refusing := rapid.Bool().Draw(t, "refusing")
		isolated := rapid.IntRange(0, len(nodes)).Draw(t, "isolated")
		seconds := rapid.IntRange(5, 60).Draw(t, "seconds")
		registries := []*Registry{}
		for _, node := range nodes {
			r := NewRegistry(node)
			r.SetExpectedFleetSize(len(nodes))
			r.ApplyList(start, listOf(1, api.VMStateLive))
			registries = append(registries, r)
		}
		spent := 0
		for tick := range seconds * 10 {
			now := start.Add(time.Duration(tick) * 100 * time.Millisecond)
			for i, r := range registries {
				counted := nodes
				if i < isolated {
					counted = nodes[i : i+1]
				}
				if refusing {
					r.Entries()[0].Counters.Refused.Add(1)
				}
				for _, check := range r.DueHealthChecks(now, counted, specs(budget)) {
					spent += check.Operations
					r.ApplyHealthCheck(now, HealthCheckResult{Address: check.Address, Report: Report{Incarnation: "i1"}})
				}
			}
			if float64(spent) > budget*now.Sub(start).Seconds()+1e-6 {
				t.Fatalf("%d operations after %v exceed the budget of %v per second", spent, now.Sub(start), budget)
			}
		}
	})
}

// coldTarget simulates a target whose capacity doubles after each level x 8 served requests.
type coldTarget struct{ inFlight, served int }

func (c *coldTarget) capacity() int {
	level, needed := 1, 8
	for c.served >= needed {
		level *= 2
		needed += 8 * level
	}
	return level
}

// P2. Guards against a cold target that has more requests in flight from all nodes than its
// capacity or its ramp level allows, while facts arrive delayed and in any order.
func TestP2ColdTargetStaysWithinLevel(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.TargetCold, faultmatrix.RequestChoose)
	rapid.Check(t, func(t *rapid.T) {
		nodes := fleetOf(rapid.IntRange(1, 19).Draw(t, "nodes"))
		registries := []*Registry{}
		for _, node := range nodes {
			r := NewRegistry(node)
			r.ApplyList(start, listOf(1, api.VMStateLive))
			registries = append(registries, r)
		}
		target, pending, highest := coldTarget{}, []Fact{}, 1
		for step := range rapid.IntRange(10, 60).Draw(t, "steps") {
			now := start.Add(time.Duration(step) * 100 * time.Millisecond)
			for i, r := range registries {
				entry := r.Entries()[0]
				for int(entry.Counters.InFlight.Load()) < share.Units(address, nodes[i], nodes, entry.Units) {
					entry.Counters.InFlight.Add(1)
					target.inFlight++
				}
			}
			if target.inFlight > target.capacity() || target.inFlight > highest {
				t.Fatalf("%d requests in flight exceed the target capacity of %d or the highest level of %d", target.inFlight, target.capacity(), highest)
			}
			for _, r := range registries {
				counters := r.Entries()[0].Counters
				slow := rapid.IntRange(0, 9).Draw(t, "latency") == 0
				for range rapid.Int64Range(0, counters.InFlight.Load()).Draw(t, "responses") {
					counters.InFlight.Add(-1)
					target.inFlight--
					target.served++
					latency := 10 * time.Millisecond
					if slow {
						latency = time.Second
					}
					counters.RecordResponse(latency, false, 20_000)
					counters.RecordReport(&Report{Incarnation: "i1", Served: uint64(target.served)})
				}
				pending = append(pending, r.Collect(now, nodes, specs(1))...)
				highest = max(highest, r.Entries()[0].Units)
			}
			if len(pending) > 0 {
				fact := pending[rapid.IntRange(0, len(pending)-1).Draw(t, "fact")]
				registries[rapid.IntRange(0, len(nodes)-1).Draw(t, "to")].ApplyFact(now, fact)
			}
		}
	})
}

// leavingModel is the reference model of P8: any leaving signal takes the current incarnation out
// of service, and only the next incarnation returns the target.
type leavingModel struct {
	registry    *Registry
	incarnation int
	leaving     bool
	version     int
	listed      api.VMState
}

func incarnationName(incarnation int) string { return fmt.Sprintf("i%d", incarnation) }

func (m *leavingModel) recordReport(incarnation int, draining bool) {
	m.registry.Entries()[0].Counters.RecordReport(&Report{Incarnation: incarnationName(incarnation), Draining: draining})
}

func (m *leavingModel) applyList(state api.VMState) {
	m.version++
	m.registry.ApplyList(start, listOf(m.version, state))
	m.leaving = m.leaving || state == api.VMStateLeaving && m.listed != state
	m.listed = state
}

func (m *leavingModel) applyPeerFact(key string, back int) {
	epoch := uint64(m.incarnation - back)
	value := factValue{Incarnation: incarnationName(m.incarnation - back), Level: 12}
	m.registry.ApplyFact(start, Fact{Key: key + address, Epoch: epoch, Version: 1000, Value: encode(value)})
}

func (m *leavingModel) apply(kind int) {
	switch kind {
	case 0, 1:
		m.applyList([]api.VMState{api.VMStateLive, api.VMStateLeaving}[kind])
	case 2: // an outdated list, and a list emptied by a platform outage
		m.registry.ApplyList(start, listOf(m.version-1, api.VMStateLive))
		m.registry.ApplyList(start, api.VMList{Version: m.version})
	case 3:
		m.recordReport(m.incarnation, true)
		m.leaving = true
	case 4:
		m.recordReport(m.incarnation, false)
	case 5: // delayed responses of the previous incarnation
		if m.incarnation > 1 {
			m.recordReport(m.incarnation-1, true)
			m.registry.Collect(start, fleetOf(1), specs(1))
			m.recordReport(m.incarnation-1, false)
		}
	case 6:
		m.registry.Entries()[0].Counters.Refused.Add(1)
		m.registry.DueHealthChecks(start, fleetOf(1), specs(1))
		m.registry.ApplyHealthCheck(start, HealthCheckResult{Address: address, Failed: true, Refused: true})
		m.leaving = true
	case 7:
		m.applyPeerFact(KeyLeaving, 0)
		m.leaving = true
	case 8:
		m.applyPeerFact(KeyRamp, 0)
		if m.incarnation > 1 {
			m.applyPeerFact(KeyRamp, 1)
			m.applyPeerFact(KeyLeaving, 1)
		}
	case 9:
		m.registry.ApplyHealthCheck(start, HealthCheckResult{Address: address, Report: Report{Incarnation: incarnationName(m.incarnation), Draining: true}})
		m.leaving = true
	case 10, 11:
		m.incarnation++
		m.leaving = false
		if kind == 10 {
			m.recordReport(m.incarnation, false)
		} else {
			m.registry.ApplyHealthCheck(start, HealthCheckResult{Address: address, Report: Report{Incarnation: incarnationName(m.incarnation)}})
		}
	}
}

// P8. Guards against a leaving target that receives new work without a new incarnation, and
// against one that does not return with a new incarnation.
func TestP8LeavingTargetStaysOut(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.TargetDraining, faultmatrix.RequestChoose)
	faultmatrix.Proves(t, faultmatrix.VMListStale, faultmatrix.RequestChoose)
	rapid.Check(t, func(t *rapid.T) {
		m := &leavingModel{registry: NewRegistry("node-0"), incarnation: 1, version: 1, listed: api.VMStateLive}
		m.registry.ApplyList(start, listOf(1, api.VMStateLive))
		m.recordReport(1, false)
		m.registry.Collect(start, fleetOf(1), specs(1))
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			kind := rapid.IntRange(0, 11).Draw(t, "kind")
			m.apply(kind)
			if m.leaving && kind == 3 && !m.registry.Entries()[0].Counters.Leaving.Load() {
				t.Fatal("Counters.Leaving is not set after a draining report")
			}
			m.registry.Collect(start, fleetOf(1), specs(1))
			entry := m.registry.Entries()[0]
			if entry.Leaving != m.leaving || entry.Counters.Leaving.Load() != m.leaving {
				t.Fatalf("kind %d: Entry.Leaving %v, Counters.Leaving %v, expected %v", kind, entry.Leaving, entry.Counters.Leaving.Load(), m.leaving)
			}
		}
	})
}
