package forward

import (
	"net/http"
	"time"

	"github.com/fireflychute/fireflychute/pkg/quota"
)

// Protocol reads and writes the headers of callers and targets.
type Protocol interface {
	// ReadRequest reads the headers of a caller's request.
	ReadRequest(header http.Header) RequestInfo
	// WriteRequest replaces the headers that the node sets on a request to a target. remaining
	// is the time until the request's deadline.
	WriteRequest(header http.Header, id, target string, remaining time.Duration)
	// ReadResponse reads the status and headers of a target's response.
	ReadResponse(status int, header http.Header) ResponseInfo
	// ReadLoadReport reads the response to a load probe.
	ReadLoadReport(status int, header http.Header) LoadReport
}

// RequestInfo is the content of a caller's headers.
type RequestInfo struct {
	// ID is the request's id, empty if there is none.
	ID string
	// Timeout is the caller's timeout, 0 if it sent none.
	Timeout time.Duration
}

// ResponseInfo is the content of a target's response headers.
type ResponseInfo struct {
	// RequestID is the id of the request to which the target responds.
	RequestID string
	// Genuine responses carry the target's signature and are not re-encoded.
	Genuine bool
	// NotRun responses state that the request has not run.
	NotRun bool
	// OtherTarget is set if the address now belongs to another target.
	OtherTarget bool
	// PromisesNotRun is set if callers interpret the status as a statement that the request
	// has not run.
	PromisesNotRun bool
	Availability
}

// Availability is what a target states about further requests, in any of its responses.
type Availability struct {
	// Leaving targets shut down soon. They accept requests again only after a restart.
	Leaving bool
	// RetryAfter is the time for which this node must send nothing to the target, 0 if the
	// target states none.
	RetryAfter time.Duration
	// Limit is what the target says about the rate that it accepts from all nodes together.
	Limit quota.Statement
}

// LoadReport is a target's response to a load probe.
type LoadReport struct {
	// Target is the id of the target that responded.
	Target string
	// Healthy targets report that they accept requests.
	Healthy bool
	// HasLoad is set if the target reported its load; the next four fields are valid only then.
	HasLoad                 bool
	Running, Waiting, Slots int
	Slowdown                float64
	// WarmupLeft is how long the target is still cold.
	WarmupLeft time.Duration
	Availability
}
