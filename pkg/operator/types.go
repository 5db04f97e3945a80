package operator

import (
	"encoding/json"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/declare"
)

// ApplyRequest is the body of POST /v1/apply: a set of objects to write and delete
// as one atomic change. Objects that it does not name are left unchanged.
type ApplyRequest struct {
	// Operation is an idempotency id by which a repeated request is detected. The
	// server generates one when it is empty.
	Operation string       `json:"operation"`
	Objects   []api.Object `json:"objects"`
	// Delete lists the objects to delete, as kind/name.
	Delete []string `json:"delete,omitempty"`
	// IfRevision, when set, makes the change conditional on this revision of the
	// configuration.
	IfRevision *uint64 `json:"ifRevision,omitempty"`
}

// ApplyResult is the response to an accepted change or to a dry run.
type ApplyResult struct {
	Operation string `json:"operation"`
	// Revision is the revision of the accepted change. For a dry run, and when the
	// request changes nothing, it is the revision that the request was compared with.
	Revision uint64 `json:"revision"`
	DryRun   bool   `json:"dryRun,omitempty"`
	Outcome
}

// Outcome describes the effects of a change.
type Outcome struct {
	Changes []Change        `json:"changes"`
	Traffic AffectedTraffic `json:"traffic"`
	// Warnings are capacity problems that the capacity policy tolerates.
	Warnings []CapacityProblem `json:"warnings,omitempty"`
}

// Values of Change.Action.
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

// FieldChange is the difference of one field. Old or New is empty when the field is
// absent on that side.
type FieldChange struct {
	Field string          `json:"field"`
	Old   json.RawMessage `json:"old,omitempty"`
	New   json.RawMessage `json:"new,omitempty"`
}

// AffectedTraffic lists the names of the objects whose traffic a change affects.
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

// ResourceList is the response to GET /v1/{kind}.
type ResourceList struct {
	Revision uint64     `json:"revision"`
	Items    []Resource `json:"items"`
}

// WatchResult is the response to GET /v1/watch.
type WatchResult struct {
	Revision uint64 `json:"revision"`
	// Status is the status version of the node that sent the response.
	Status uint64 `json:"status"`
	// Changed is false when the timeout expired without a change.
	Changed bool `json:"changed"`
}

// NodeList is the response to GET /v1/nodes.
type NodeList struct {
	Nodes []api.NodeStatus `json:"nodes"`
}

// TargetList is the response to GET /v1/top, the most loaded target first.
type TargetList struct {
	Targets []TargetLoad `json:"targets"`
}

// Values of Error.Code.
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

// Error is the body of every response that reports a failure.
type Error struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Revision is the current revision of the configuration, set on a conflict.
	Revision uint64            `json:"revision,omitempty"`
	Problems declare.Problems  `json:"problems,omitempty"`
	Capacity []CapacityProblem `json:"capacity,omitempty"`
	// Operation is the operation id to repeat a failed apply with.
	Operation string `json:"operation,omitempty"`
	// RetryAfterSeconds is the delay in seconds before a retry; 0 means unspecified.
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
