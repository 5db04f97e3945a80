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

// Snapshot is the routing state that serves a request. It is immutable once published, except for
// the target counters, outcome recorders and validity that it points to.
type Snapshot struct {
	// Revision is the configuration's revision, or 0 if there is no configuration yet.
	Revision uint64
	// Isolated means that new requests are rejected with the outcome not-run.
	Isolated bool
	// Validity limits how long the snapshot may be used. All snapshots of a node share it.
	Validity *Validity
	// Routes are in the order of SortRoutes: by descending length of the path prefix.
	Routes  []*Route
	Callers []CallerGroup
}

// Route is a route with its service and work kind resolved.
type Route struct {
	Name         string
	Spec         api.RouteSpec
	WorkKindName string
	WorkKind     api.WorkKindSpec
	Service      *Service
	// Recorders holds the outcome recorders by version. Outcomes of other versions are not
	// recorded.
	Recorders map[string]*outcome.Recorder
}

// Service is a service with the targets that may receive new requests.
type Service struct {
	Name string
	Spec api.ServiceSpec
	// Versions holds the versions with their shares of new requests, which add up to 1.
	Versions []Version
	// Units is the sum of the units that this node has on the targets.
	Units int
}

// Version is one version of a service with its share of the traffic.
type Version struct {
	Name    string
	Share   float64
	Targets []*Target
	// Relays are the nodes to which requests for the version can be relayed: those that have
	// units on its targets if this node has none, otherwise all responsive nodes.
	Relays []*Target
}

// HasUnits reports whether this node has a unit on any of the version's targets.
func (v *Version) HasUnits() bool {
	for _, target := range v.Targets {
		if target.Units > 0 {
			return true
		}
	}
	return false
}

// Target is a target, or a relay, that may receive new requests from this node.
type Target struct {
	// Address is the IP address and port. It also identifies the target.
	Address    string
	DataCentre string
	Version    string
	// Units is the maximum number of requests that this node may have in flight to the target.
	Units int
	// Local means that the target is in this node's data centre.
	Local    bool
	Cold     bool
	Counters *targets.Counters
	// IsRelay means that the target is another node, to which requests are relayed.
	IsRelay bool
	// Connections is the maximum number of connections from this node to the target; 0 means as
	// many as Units.
	Connections int
}

// CallerGroup is a client account (caller) with its parsed networks.
type CallerGroup struct {
	Name     string
	Weight   int
	Prefixes []netip.Prefix
}

// Timeout returns the time limit of requests on the route.
func (r *Route) Timeout() time.Duration {
	return time.Duration(r.WorkKind.TimeoutMs) * time.Millisecond
}

// Match returns the route with the longest path prefix that matches the request, or nil.
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

// SortRoutes sorts routes in the order that Match needs: longer prefixes first, then routes with
// more methods. Routes without methods, which match every method, come last.
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

// CallerByName returns the caller group with the given name, or nil.
func (s *Snapshot) CallerByName(name string) *CallerGroup {
	for i := range s.Callers {
		if s.Callers[i].Name == name {
			return &s.Callers[i]
		}
	}
	return nil
}

// CallerByAddress returns the caller group with the longest prefix that contains the address, or
// nil.
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
