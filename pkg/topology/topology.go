// Package topology is what requests are routed by: an immutable view of the
// configuration and of the targets that may be used, made by the control
// goroutine and read by traffic without locks.
package topology

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/fireflychute/fireflychute/pkg/catalog"
)

// Topology is one version of the view.
type Topology struct {
	Configuration *catalog.Configuration
	// FleetSize is the number of nodes by which shared budgets are divided.
	FleetSize int
	Services  map[string]*Service
	hosts     map[string][]*Route
}

// Route is a route with the services that it leads to.
type Route struct {
	catalog.Route
	Services    []*Service
	totalWeight float64
}

// Service is the targets of one service that may be used.
type Service struct {
	catalog.Service
	// Main are the targets of the version in use, Canary those of the version that
	// is being rolled out.
	Main   Pool
	Canary Pool
	// CanaryShare is the part of the requests for Canary; CanaryVersion its name.
	CanaryShare   float64
	CanaryVersion string
	// Order identifies the rollout.
	Order uint64
	// highestPriority is the priority of the most urgent route to the service.
	highestPriority int
}

// Reserve returns how many slots of each target a route of a priority leaves free for
// more urgent ones.
func (s *Service) Reserve(priority int) int {
	if priority > s.highestPriority {
		return 1
	}
	return 0
}

// Target is a target that may be used.
type Target struct {
	catalog.Target
	// Local targets are in the data centre of the node.
	Local bool
	// Region is the region of the target's data centre.
	Region string
	// Connections is this node's part of the connections that the target accepts.
	Connections int
	Observed    *Observed
}

// Pool is the targets of one version of a service, as a node chooses among them.
type Pool struct {
	// Subset are the targets that are asked first. The node keeps connections to these,
	// so it opens few others.
	Subset []*Target
	// Local are the targets in the data centre of the node, Remote the others.
	Local, Remote []*Target
}

// Len returns the number of targets.
func (p *Pool) Len() int { return len(p.Local) + len(p.Remote) }

// All returns the targets, the local ones first.
func (p *Pool) All() []*Target { return slices.Concat(p.Local, p.Remote) }

func (p *Pool) add(target *Target) {
	if target.Local {
		p.Local = append(p.Local, target)
	} else {
		p.Remote = append(p.Remote, target)
	}
}

// Match returns the route of a host and a path: the one with the longest prefix.
func (t *Topology) Match(host, path string) *Route {
	for _, route := range t.hosts[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// ChooseService draws one of the route's services by weight.
func (r *Route) ChooseService(random *rand.Rand) *Service {
	remaining := random.Float64() * r.totalWeight
	for i, part := range r.Parts {
		remaining -= part.Weight
		if remaining < 0 {
			return r.Services[i]
		}
	}
	return r.Services[len(r.Services)-1]
}

// ChoosePool decides whether a request goes to the version that is being rolled out.
func (s *Service) ChoosePool(random *rand.Rand) (pool *Pool, canary bool) {
	if s.CanaryShare > 0 && s.Canary.Len() > 0 && random.Float64() < s.CanaryShare {
		return &s.Canary, true
	}
	return &s.Main, false
}

// Allows tells whether the route may use a target's region.
func (r *Route) Allows(target *Target) bool {
	if len(r.Regions) == 0 {
		return true
	}
	for _, region := range r.Regions {
		if region == target.Region {
			return true
		}
	}
	return false
}
