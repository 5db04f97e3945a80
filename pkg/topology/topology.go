// Package topology provides the routing table: an immutable view of the configuration and of the
// usable targets. The control goroutine builds it and request handling reads it without locks.
package topology

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/fireflychute/fireflychute/pkg/catalog"
)

// Topology is one version of the routing table.
type Topology struct {
	Configuration *catalog.Configuration
	// FleetSize is the number of nodes by which shared budgets are divided.
	FleetSize int
	Services  map[string]*Service
	// hosts holds the routes of each host, those with the longest prefix first.
	hosts map[string][]*Route
}

// Route is a configured route with its services, in the order of its parts.
type Route struct {
	catalog.Route
	Services    []*Service
	totalWeight float64
}

// Service is a service with its usable targets.
type Service struct {
	catalog.Service
	// Main holds the targets of the version in use, Canary those of the version that is being
	// rolled out.
	Main   Pool
	Canary Pool
	// CanaryShare is the fraction of requests that Canary receives, CanaryVersion its version.
	CanaryShare   float64
	CanaryVersion string
	// Order is the ID of the rollout order.
	Order uint64
	// highestPriority is the priority of the most urgent route to the service; lower values are
	// more urgent.
	highestPriority int
}

// Reserve returns how many slots of each target a route of a priority must leave free for more
// urgent routes.
func (s *Service) Reserve(priority int) int {
	if priority > s.highestPriority {
		return 1
	}
	return 0
}

// Target is a usable target.
type Target struct {
	catalog.Target
	// Local is set if the target is in the data centre of this node.
	Local bool
	// Region is the region of the target's data centre.
	Region string
	// Connections is this node's share of the connections that the target accepts.
	Connections int
	Observed    *Observed
}

// Pool is the set of targets of one version of a service from which a node chooses.
type Pool struct {
	// Subset holds the targets that are probed first. The node keeps connections to these open
	// and opens few others.
	Subset []*Target
	// Local holds the targets in the data centre of the node, Remote the others.
	Local, Remote []*Target
}

// Len returns the number of targets.
func (p *Pool) Len() int { return len(p.Local) + len(p.Remote) }

// All returns the targets, local ones first.
func (p *Pool) All() []*Target { return slices.Concat(p.Local, p.Remote) }

func (p *Pool) add(target *Target) {
	if target.Local {
		p.Local = append(p.Local, target)
	} else {
		p.Remote = append(p.Remote, target)
	}
}

// Match returns the route of a host with the longest prefix of path, or nil.
func (t *Topology) Match(host, path string) *Route {
	for _, route := range t.hosts[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// ChooseService samples one of the route's services by weight.
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

// ChoosePool sends a request to the canary with the probability CanaryShare. canary reports whether
// it did.
func (s *Service) ChoosePool(random *rand.Rand) (pool *Pool, canary bool) {
	if s.CanaryShare > 0 && s.Canary.Len() > 0 && random.Float64() < s.CanaryShare {
		return &s.Canary, true
	}
	return &s.Main, false
}

// Allows reports whether the route may use targets in the region of target. A route without regions
// allows all of them.
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
