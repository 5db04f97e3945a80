package operator

import (
	"encoding/json"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/configuration"
)

// Backend is what the node offers to the resource API. All methods may be called
// at the same time; what they return is not changed afterwards. None of them
// waits for the platform or for a peer.
type Backend interface {
	// Configuration returns the configuration that this node has applied. Its
	// revision is 0 when the node has none.
	Configuration() Configuration
	// Status returns the stored status of an object as JSON, and false when there
	// is none.
	Status(kind, name string) (json.RawMessage, bool)
	// Fleet returns where the configuration is in force, as the controller last
	// reported it, and false when no report is known.
	Fleet() (api.FleetStatus, bool)
	// Nodes returns the members that this node knows, itself included.
	Nodes() []api.NodeStatus
	// Readiness tells whether the node takes new calls.
	Readiness() Readiness
	// Explain returns the decisions on a request, and false when this node holds none.
	Explain(requestID string) (Explanation, bool)
	// Targets returns the load of the targets as this node sees it.
	Targets() []TargetLoad
	// CapacityProblems compares a proposed configuration with the present load.
	CapacityProblems(current, proposed *configuration.Set) []CapacityProblem
	// Changed returns a channel that is closed at the next change of the revision
	// or of a status.
	Changed() <-chan struct{}
}

// Configuration is a node's configuration with the raw specs.
type Configuration struct {
	Revision uint64
	Manifest api.Manifest
	// Blobs holds the specs by digest.
	Blobs map[string][]byte
	// StatusVersion grows with each change of a status that this node sees.
	StatusVersion uint64
}

// Readiness tells whether a node takes new calls, and why not.
type Readiness struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

// CapacityProblem is a lack of room in a proposed configuration.
type CapacityProblem struct {
	Service    string `json:"service,omitempty"`
	DataCentre string `json:"dataCentre,omitempty"`
	Reason     string `json:"reason"`
	// Blocking tells that the change must not be accepted; otherwise it is a warning.
	Blocking bool `json:"refuse"`
}

// String names the service and the reason.
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
	// Units is how many requests this node may have in flight at the target.
	Units    int `json:"units"`
	InFlight int `json:"inFlight"`
	// ReportedLoad is the target's last report of its requests in flight and queued.
	ReportedLoad  int           `json:"reported"`
	ReportAge     time.Duration `json:"reportAgeNs"`
	LatencyMicros int64         `json:"latencyMicros"`
}

// Explanation is what a node did with one request and why.
type Explanation struct {
	RequestID string    `json:"requestId"`
	Node      string    `json:"node"`
	Time      time.Time `json:"time"`
	Route     string    `json:"route"`
	Caller    string    `json:"caller"`
	// Outcome is the outcome that the caller was told; Reason explains it.
	Outcome  string    `json:"outcome"`
	Reason   string    `json:"reason"`
	Status   int       `json:"status"`
	Attempts []Attempt `json:"tries"`
}

// Attempt is one attempt at one target.
type Attempt struct {
	Target  string `json:"target"`
	Version string `json:"version"`
	// Candidates are the targets that were compared, with the evidence as text.
	Candidates    []string `json:"candidates"`
	Evidence      string   `json:"evidence"`
	Outcome       string   `json:"outcome"`
	LatencyMicros int64    `json:"latencyMicros"`
}
