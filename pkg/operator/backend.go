package operator

import (
	"encoding/json"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/configuration"
)

// Backend gives the resource API access to the state of the node. All methods are
// safe for concurrent use, and the returned values are not modified afterwards. No
// method blocks on the platform or on a peer.
type Backend interface {
	// Configuration returns the configuration that this node has applied. Its
	// revision is 0 when the node has applied none.
	Configuration() Configuration
	// Status returns the stored status of an object as JSON, or false when there is
	// none.
	Status(kind, name string) (json.RawMessage, bool)
	// Fleet returns the controller's last report of the nodes on which the
	// configuration is in force, or false when this node has received no report.
	Fleet() (api.FleetStatus, bool)
	// Nodes returns the members of the cluster as this node sees them, including
	// itself.
	Nodes() []api.NodeStatus
	// Readiness reports whether the node accepts new calls.
	Readiness() Readiness
	// Explain returns the decisions made for a request, or false when this node has
	// no record of it.
	Explain(requestID string) (Explanation, bool)
	// Targets returns the load of the targets as this node sees it.
	Targets() []TargetLoad
	// CapacityProblems checks a proposed configuration against the current load.
	CapacityProblems(current, proposed *configuration.Set) []CapacityProblem
	// Changed returns a channel that is closed on the next change of the revision or
	// of a status.
	Changed() <-chan struct{}
}

// Configuration is the configuration that a node has applied, with the raw specs.
type Configuration struct {
	Revision uint64
	Manifest api.Manifest
	// Blobs maps digests to specs.
	Blobs map[string][]byte
	// StatusVersion is incremented on each status change that this node receives.
	StatusVersion uint64
}

// Readiness reports whether a node accepts new calls and, if not, the reason.
type Readiness struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

// CapacityProblem describes insufficient capacity, or another harmful effect on
// traffic, of a proposed configuration.
type CapacityProblem struct {
	Service    string `json:"service,omitempty"`
	DataCentre string `json:"dataCentre,omitempty"`
	Reason     string `json:"reason"`
	// Blocking makes the server reject the change. Otherwise the problem is reported
	// as a warning.
	Blocking bool `json:"refuse"`
}

// String returns the reason, preceded by the service if there is one.
func (p CapacityProblem) String() string {
	if p.Service == "" {
		return p.Reason
	}
	return "service " + p.Service + ": " + p.Reason
}

// TargetLoad is the load of one target as one node sees it.
type TargetLoad struct {
	Address    string `json:"address"`
	Service    string `json:"service"`
	DataCentre string `json:"dataCentre"`
	Version    string `json:"version"`
	// State is Warm, Cold or Leaving.
	State string `json:"state"`
	// Units is the number of requests that this node may have in flight at the target.
	Units    int `json:"units"`
	InFlight int `json:"inFlight"`
	// ReportedLoad is the number of requests in flight and queued in the target's last
	// load report.
	ReportedLoad  int           `json:"reported"`
	ReportAge     time.Duration `json:"reportAgeNs"`
	LatencyMicros int64         `json:"latencyMicros"`
}

// Explanation records how a node handled one request and why.
type Explanation struct {
	RequestID string    `json:"requestId"`
	Node      string    `json:"node"`
	Time      time.Time `json:"time"`
	Route     string    `json:"route"`
	Caller    string    `json:"caller"`
	// Outcome is the outcome reported to the caller; Reason explains it.
	Outcome  string    `json:"outcome"`
	Reason   string    `json:"reason"`
	Status   int       `json:"status"`
	Attempts []Attempt `json:"tries"`
}

// Attempt records one attempt to send a request to a target.
type Attempt struct {
	Target  string `json:"target"`
	Version string `json:"version"`
	// Candidates are the targets that were compared. Evidence is the data that they
	// were compared by, as text.
	Candidates    []string `json:"candidates"`
	Evidence      string   `json:"evidence"`
	Outcome       string   `json:"outcome"`
	LatencyMicros int64    `json:"latencyMicros"`
}
