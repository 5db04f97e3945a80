package snapshot

import (
	"net/netip"
	"sort"
	"strings"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/outcome"
	"github.com/fireflychute/fireflychute/pkg/targets"
)

// Snapshot is what one request is served by. Nothing in it changes after it was
// published, but for the counters that targets point to.
type Snapshot struct {
	// Revision is the configuration's revision; 0 means none is known.
	Revision uint64
	// Isolated tells that new calls are to be refused as not run.
	Isolated bool
	// Validity is shared by all snapshots of a node.
	Validity *Validity
	// Routes are ordered by falling length of the path prefix.
	Routes  []*Route
	Callers []CallerGroup
}

// Route is a route with its service and kind of work resolved.
type Route struct {
	Name         string
	Spec         api.RouteSpec
	WorkKindName string
	WorkKind     api.WorkKindSpec
	Service      *Service
	// Recorders has the outcome recorder of each version; a version without one
	// is not recorded.
	Recorders map[string]*outcome.Recorder
}

// Service is a service with the targets that may receive new work.
type Service struct {
	Name string
	Spec api.ServiceSpec
	// Versions has the share of new work for each version; shares add up to 1.
	Versions []Version
	// Units is the sum of the targets' units at this node.
	Units int
}

// Version is one version's share of a service's traffic.
type Version struct {
	Name    string
	Share   float64
	Targets []*Target
	// Relays are the nodes that may take over calls of the version: those that have
	// units of its targets when this node has none, else all that respond.
	Relays []*Target
}

// HasUnits tells whether this node has a unit of any of the version's targets.
func (v *Version) HasUnits() bool {
	for _, target := range v.Targets {
		if target.Units > 0 {
			return true
		}
	}
	return false
}

// Target is a target that may receive new work from this node.
type Target struct {
	// Address is the IP address and port, which also identifies the target.
	Address    string
	DataCentre string
	Version    string
	// Units is how many requests this node may have in flight at the target.
	Units int
	// Local tells that the target is in this node's data centre.
	Local    bool
	Cold     bool
	Counters *targets.Counters
	// IsRelay tells that it is another node, to which a call is handed over.
	IsRelay bool
	// Connections is how many connections this node may have to the target; 0
	// means as many as Units.
	Connections int
}

// CallerGroup is a caller with its networks parsed.
type CallerGroup struct {
	Name     string
	Weight   int
	Prefixes []netip.Prefix
}

// Timeout returns the longest time that a call on the route may take.
func (r *Route) Timeout() time.Duration {
	return time.Duration(r.WorkKind.TimeoutMs) * time.Millisecond
}

// Match returns the route with the longest prefix that takes the call, or nil.
func (s *Snapshot) Match(method, path string) *Route {
	for _, route := range s.Routes {
		if route.matches(method, path) {
			return route
		}
	}
	return nil
}

func (r *Route) matches(method, path string) bool {
	if !strings.HasPrefix(path, r.Spec.PathPrefix) {
		return false
	}
	if len(r.Spec.Methods) == 0 {
		return true
	}
	for _, allowed := range r.Spec.Methods {
		if allowed == method {
			return true
		}
	}
	return false
}

// SortRoutes brings routes into the order that Match needs.
func SortRoutes(routes []*Route) {
	sort.Slice(routes, func(i, j int) bool {
		a, b := routes[i], routes[j]
		if len(a.Spec.PathPrefix) != len(b.Spec.PathPrefix) {
			return len(a.Spec.PathPrefix) > len(b.Spec.PathPrefix)
		}
		if len(a.Spec.Methods) != len(b.Spec.Methods) {
			return len(a.Spec.Methods) > len(b.Spec.Methods)
		}
		return a.Name < b.Name
	})
}

// CallerByName returns the group with a name, or nil.
func (s *Snapshot) CallerByName(name string) *CallerGroup {
	for i := range s.Callers {
		if s.Callers[i].Name == name {
			return &s.Callers[i]
		}
	}
	return nil
}

// CallerByAddress returns the group whose longest prefix has the address, or nil.
func (s *Snapshot) CallerByAddress(address netip.Addr) *CallerGroup {
	var found *CallerGroup
	longest := -1
	for i := range s.Callers {
		for _, prefix := range s.Callers[i].Prefixes {
			if prefix.Bits() > longest && prefix.Contains(address) {
				found, longest = &s.Callers[i], prefix.Bits()
			}
		}
	}
	return found
}
