package datacentre

import (
	"fmt"
	"sort"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/configuration"
)

// maxUtilisation is the part of the remaining slots that the present load may take.
// Reports of load are stale and load shifts within milliseconds; the rest absorbs both.
const maxUtilisation = 0.8

// Reasons of a Problem.
const (
	ReasonNoCapacity        = "NoCapacity"
	ReasonTooLittleCapacity = "TooLittleCapacity"
)

// ServiceLoad is the present load and the live targets of one service.
type ServiceLoad struct {
	// InFlight is how many requests the service runs at the same time, over all
	// data centres. A peak of the last minutes suits better than one moment.
	InFlight float64
	// Targets has the number of live targets by data centre.
	Targets map[string]int
}

// Problem is one service that a change leaves with too little capacity.
type Problem struct {
	Service string
	// DataCentres are those that the change takes out.
	DataCentres []string
	Reason      string
	Message     string
	// Blocking tells that the change must not be accepted; otherwise it is a warning.
	Blocking bool
}

// CheckCapacity compares what a proposed configuration leaves of each service's
// capacity with its present load. A service has a problem when the change makes
// its capacity smaller and leaves it none, or less than the load with headroom.
// A change is refused unless each data centre that it takes out has the policy
// Warn. current may be nil when nothing was configured before. Problems are in
// order of service.
func CheckCapacity(current, proposed *configuration.Set, load map[string]ServiceLoad) []Problem {
	c := capacityCheck{current: current, proposed: proposed, takenOut: takenOut(current, proposed)}
	problems := []Problem{}
	for name, spec := range proposed.Services {
		problem, found := c.checkService(name, spec, load[name])
		if found {
			problems = append(problems, problem)
		}
	}
	sort.Slice(problems, func(i, j int) bool { return problems[i].Service < problems[j].Service })
	return problems
}

// capacityCheck is the change that CheckCapacity looks at.
type capacityCheck struct {
	current, proposed *configuration.Set
	takenOut          []string
}

func (c capacityCheck) checkService(name string, spec api.ServiceSpec, load ServiceLoad) (Problem, bool) {
	before := c.currentSlots(name, load)
	after := totalSlots(c.proposed, spec, load)
	if after >= before || float64(after)*maxUtilisation >= load.InFlight && after > 0 {
		return Problem{}, false
	}
	problem := Problem{Service: name, DataCentres: c.takenOut, Reason: ReasonTooLittleCapacity, Blocking: c.isBlocking()}
	problem.Message = fmt.Sprintf("%.1f requests in flight, but %d of %d slots would remain, of which %.0f%% may be planned for", load.InFlight, after, before, maxUtilisation*100)
	if after == 0 {
		problem.Reason = ReasonNoCapacity
		problem.Message = fmt.Sprintf("none of %d slots would remain", before)
	}
	return problem, true
}

func (c capacityCheck) currentSlots(name string, load ServiceLoad) int {
	if c.current == nil {
		return 0
	}
	return totalSlots(c.current, c.current.Services[name], load)
}

// isBlocking tells whether any data centre taken out is protected. A change that
// takes none out, for example one that lowers the slots, is refused.
func (c capacityCheck) isBlocking() bool {
	for _, name := range c.takenOut {
		if capacityPolicy(name, c.current, c.proposed) != api.CapacityPolicyWarn {
			return true
		}
	}
	return len(c.takenOut) == 0
}

// capacityPolicy returns the policy as proposed; for a data centre that the proposal
// deletes, as it was.
func capacityPolicy(name string, current, proposed *configuration.Set) api.CapacityPolicy {
	spec, ok := proposed.DataCentres[name]
	if !ok {
		spec = current.DataCentres[name]
	}
	return spec.CapacityPolicy
}

// totalSlots adds up the slots of the service's targets in the data centres in service.
func totalSlots(set *configuration.Set, spec api.ServiceSpec, load ServiceLoad) int {
	sum := 0
	for dataCentre, targets := range load.Targets {
		if inService(set, dataCentre) {
			sum += targets * spec.Slots
		}
	}
	return sum
}

// inService tells whether targets of a data centre receive work. One that is not
// declared receives none.
func inService(set *configuration.Set, dataCentre string) bool {
	return set.DataCentres[dataCentre].State == api.DataCentreStateIn
}

// takenOut returns the data centres in service that the proposal takes out or deletes.
func takenOut(current, proposed *configuration.Set) []string {
	out := []string{}
	if current == nil {
		return out
	}
	for name := range current.DataCentres {
		if inService(current, name) && !inService(proposed, name) {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}
