package forward

import (
	"net/http"
	"time"
)

// Protocol translates the headers of callers and targets.
type Protocol interface {
	// ReadRequest reads a caller's headers.
	ReadRequest(header http.Header) RequestInfo
	// WriteRequest replaces the headers that the node sets on a request to a target.
	WriteRequest(header http.Header, id, target string, left time.Duration)
	// ReadResponse reads a target's answer.
	ReadResponse(status int, header http.Header) ResponseInfo
	// ReadLoadReport reads the answer to a load question.
	ReadLoadReport(status int, header http.Header) LoadReport
}

// RequestInfo is what a caller's headers say.
type RequestInfo struct {
	// ID is the request's id, empty when there is none.
	ID string
	// Timeout is how long the caller waits, 0 when it does not say.
	Timeout time.Duration
}

// ResponseInfo is what a target's headers say.
type ResponseInfo struct {
	// RequestID is the id of the request that is answered.
	RequestID string
	// Genuine answers carry the target's signature and are not re-encoded.
	Genuine bool
	// NotRun answers state that the request has not run.
	NotRun bool
	// OtherTarget tells that the address belongs to another target now.
	OtherTarget bool
	// PromisesNotRun tells that callers take the status for a statement that the
	// request has not run.
	PromisesNotRun bool
	Availability
}

// Availability is what a target says about further requests, in any of its answers.
type Availability struct {
	// Leaving targets end soon. Only their next start takes requests again.
	Leaving bool
	// RetryAfter is for how long the target wants nothing from this node, 0 when it does
	// not say so.
	RetryAfter time.Duration
}

// LoadReport is a target's answer to a load question.
type LoadReport struct {
	// Target is the id of the target that answered.
	Target string
	// Healthy targets say that they take requests.
	Healthy bool
	// HasLoad tells that the load is told; the next four fields are valid only then.
	HasLoad                 bool
	Running, Waiting, Slots int
	Slowdown                float64
	// WarmupLeft is how long the target stays cold.
	WarmupLeft time.Duration
	Availability
}
