package datacentre

import (
	"fmt"
	"sort"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/configuration"
)

// maxUtilisation is the fraction of the remaining slots that the current load may use. The rest
// is headroom, because load reports are stale and load shifts within milliseconds.
const maxUtilisation = 0.8

// Reasons for a Problem.
const (
	ReasonNoCapacity        = "NoCapacity"
	ReasonTooLittleCapacity = "TooLittleCapacity"
)

// ServiceLoad is the current load and the live targets of one service.
type ServiceLoad struct {
	// InFlight is the number of concurrent requests of the service over all data centres. A peak
	// over the last minutes is a better estimate than the current value.
	InFlight float64
	// Targets is the number of live targets by data centre.
	Targets map[string]int
}

// Problem describes one service that a change leaves with too little capacity.
type Problem struct {
	Service string
	// DataCentres are the data centres that the change takes out of service.
	DataCentres []string
	Reason      string
	Message     string
	// Blocking means that the change must be rejected; otherwise the problem is a warning.
	Blocking bool
}

// CheckCapacity compares the capacity of each service under a proposed configuration with its
// current load. A service has a problem if the change reduces its capacity to zero or to less than
// the load plus headroom. Problems are blocking unless every data centre that the change takes out
// has the policy Warn. current is nil if there is no configuration yet. Problems are sorted by
// service.
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

// capacityCheck holds the change that CheckCapacity evaluates.
type capacityCheck struct {
	current, proposed *configuration.Set
	takenOut          []string
}

// checkService returns the problem of one service and whether there is one.
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

// currentSlots returns the service's slots under the current configuration.
func (c capacityCheck) currentSlots(name string, load ServiceLoad) int {
	if c.current == nil {
		return 0
	}
	return totalSlots(c.current, c.current.Services[name], load)
}

// isBlocking reports whether the policy of any data centre taken out is not Warn. A change that
// takes none out, for example one that lowers a service's slots, is blocking too.
func (c capacityCheck) isBlocking() bool {
	for _, name := range c.takenOut {
		if capacityPolicy(name, c.current, c.proposed) != api.CapacityPolicyWarn {
			return true
		}
	}
	return len(c.takenOut) == 0
}

// capacityPolicy returns the proposed policy of a data centre, or the current policy if the
// proposal deletes the data centre.
func capacityPolicy(name string, current, proposed *configuration.Set) api.CapacityPolicy {
	spec, ok := proposed.DataCentres[name]
	if !ok {
		spec = current.DataCentres[name]
	}
	return spec.CapacityPolicy
}

// totalSlots returns the slots of the service's targets in all data centres in service.
func totalSlots(set *configuration.Set, spec api.ServiceSpec, load ServiceLoad) int {
	sum := 0
	for dataCentre, targets := range load.Targets {
		if inService(set, dataCentre) {
			sum += targets * spec.Slots
		}
	}
	return sum
}

// inService reports whether targets of a data centre receive requests. Targets of an undeclared
// data centre receive none.
func inService(set *configuration.Set, dataCentre string) bool {
	return set.DataCentres[dataCentre].State == api.DataCentreStateIn
}

// takenOut returns the data centres in service that the proposal takes out of service or deletes,
// sorted.
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
