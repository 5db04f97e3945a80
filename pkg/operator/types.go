package operator

import (
	"encoding/json"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/declare"
)

// ApplyRequest asks for a set of objects to be written as one change. Objects
// that it does not name stay as they are.
type ApplyRequest struct {
	// Operation identifies the request, so that a repeated one is recognised. When
	// it is empty the server chooses one.
	Operation string       `json:"operation"`
	Objects   []api.Object `json:"objects"`
	// Delete lists objects to remove as kind/name.
	Delete []string `json:"delete,omitempty"`
	// IfRevision demands that the configuration still has this revision.
	IfRevision *uint64 `json:"ifRevision,omitempty"`
}

// ApplyResult is the answer to an accepted change or to a dry run.
type ApplyResult struct {
	Operation string `json:"operation"`
	// Revision is that of the accepted change; for a dry run, and when nothing
	// differed, it is the revision that the request was compared with.
	Revision uint64 `json:"revision"`
	DryRun   bool   `json:"dryRun,omitempty"`
	Outcome
}

// Outcome is what a change does.
type Outcome struct {
	Changes []Change        `json:"changes"`
	Traffic AffectedTraffic `json:"traffic"`
	// Warnings are lacks of room that the capacity policy tolerates.
	Warnings []CapacityProblem `json:"warnings,omitempty"`
}

// Actions of a change.
const (
	ActionCreate    = "create"
	ActionUpdate    = "update"
	ActionDelete    = "delete"
	ActionUnchanged = "unchanged"
)

// Change is the difference for one object.
type Change struct {
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	Action string `json:"action"`
	// Generation is the generation after the change; 0 for a deleted object.
	Generation int           `json:"generation"`
	Fields     []FieldChange `json:"fields,omitempty"`
}

// FieldChange is the difference of one field. A missing value is empty.
type FieldChange struct {
	Field string          `json:"field"`
	Old   json.RawMessage `json:"old,omitempty"`
	New   json.RawMessage `json:"new,omitempty"`
}

// AffectedTraffic lists the names of what a change affects.
type AffectedTraffic struct {
	Services    []string `json:"services"`
	Routes      []string `json:"routes"`
	DataCentres []string `json:"dataCentres"`
	Callers     []string `json:"callers"`
}

// Resource is an object with its status and conditions.
type Resource struct {
	api.Object
	Conditions []api.Condition `json:"conditions"`
}

// ResourceList is the answer to GET /v1/{kind}.
type ResourceList struct {
	Revision uint64     `json:"revision"`
	Items    []Resource `json:"items"`
}

// WatchResult is the answer to GET /v1/watch.
type WatchResult struct {
	Revision uint64 `json:"revision"`
	// Status is the version of the statuses at the node that answered.
	Status uint64 `json:"status"`
	// Changed is false when the waiting time ended without a change.
	Changed bool `json:"changed"`
}

// NodeList is the answer to GET /v1/nodes.
type NodeList struct {
	Nodes []api.NodeStatus `json:"nodes"`
}

// TargetList is the answer to GET /v1/top, the most loaded target first.
type TargetList struct {
	Targets []TargetLoad `json:"targets"`
}

// Codes of Error.
const (
	CodeBadRequest          = "BadRequest"
	CodeTooLarge            = "TooLarge"
	CodeInvalid             = "Invalid"
	CodeCapacity            = "Capacity"
	CodeConflict            = "Conflict"
	CodeOperationReused     = "OperationReused"
	CodeNotFound            = "NotFound"
	CodePlatformUnavailable = "PlatformUnavailable"
	CodeUnknownOutcome      = "UnknownOutcome"
	CodeNotReady            = "NotReady"
	CodeInternal            = "Internal"
)

// Error is the body of every answer that is not a success.
type Error struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Revision is the current revision, given with a conflict.
	Revision uint64            `json:"revision,omitempty"`
	Problems declare.Problems  `json:"problems,omitempty"`
	Capacity []CapacityProblem `json:"capacity,omitempty"`
	// Operation is the id with which an apply is to be repeated.
	Operation string `json:"operation,omitempty"`
	// RetryAfterSeconds is when to try again; 0 gives no advice.
	RetryAfterSeconds int `json:"retryAfterSeconds,omitempty"`
	status            int
}

// Error implements error.
func (e *Error) Error() string {
	text := e.Code + ": " + e.Message
	if len(e.Problems) > 0 {
		text += "\n" + e.Problems.Error()
	}
	for _, problem := range e.Capacity {
		text += "\n" + problem.String()
	}
	return text
}

// Status returns the HTTP status of the error.
func (e *Error) Status() int {
	return e.status
}
