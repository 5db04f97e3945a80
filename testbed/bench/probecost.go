package bench

import (
	"fmt"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/targets"
)

// ProbeCost is the cost of load probes at the targets, in operations per second.
type ProbeCost struct {
	Nodes               int
	RefusingConnections bool    // every connection attempt of each node is refused
	PerTarget           float64 // maximum over the targets
	Fleet               float64 // sum over the targets
	Budget              float64 // per target
}

// MeasureProbeCost returns the cost of probing idle targets, measured over a simulated minute.
func MeasureProbeCost(s Scenario, nodes int, refusing bool) ProbeCost {
	const seconds = 60
	names, registries := []string{}, []*targets.Registry{}
	list := api.VMList{Version: 1}
	for i := range s.Targets {
		list.VMs = append(list.VMs, api.VM{Address: fmt.Sprintf("10.0.0.%d:80", i), Role: "target", Service: service, State: api.VMStateLive})
	}
	for i := range nodes {
		names = append(names, fmt.Sprintf("node-%d", i))
		registries = append(registries, targets.NewRegistry(names[i]))
		registries[i].ApplyList(epoch, list)
	}
	spent := map[string]int{}
	services := map[string]api.ServiceSpec{service: s.Spec}
	for step := range seconds * 10 {
		now := epoch.Add(time.Duration(step) * collectInterval)
		for _, r := range registries {
			for _, entry := range r.Entries() {
				if refusing {
					entry.Counters.Refused.Add(1)
				}
			}
			for _, probe := range r.DueHealthChecks(now, names, services) {
				spent[probe.Address] += probe.Operations
			}
		}
	}
	cost := ProbeCost{Nodes: nodes, RefusingConnections: refusing, Budget: s.Spec.MeasuringBudget}
	for _, operations := range spent {
		cost.PerTarget = max(cost.PerTarget, float64(operations)/seconds)
		cost.Fleet += float64(operations) / seconds
	}
	return cost
}
