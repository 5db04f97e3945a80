package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Outcome is the result of a call as its caller observes it.
type Outcome string

// Outcomes of calls.
const (
	// Answered is a complete response with status 200.
	Answered Outcome = "answered"
	// Failed is a complete response in which the target reports an error of its own.
	Failed Outcome = "failed"
	// NotRun is a rejection that states that the call was not run, or a failed connection attempt.
	NotRun Outcome = "not run"
	// Unknown is any other failure.
	Unknown Outcome = "unknown"
	// NotSent is a call for which no node was ready or too many were in flight.
	NotSent Outcome = "not sent"
)

// Call is one call and its outcome.
type Call struct {
	Route, ID, Node string
	Intended, Ended time.Time
	Outcome         Outcome
	// WrongBody reports that a 200 response belonged to another call or was incomplete.
	WrongBody bool
	Detail    string
}

// Latency returns the time from the intended start to the end of the call, so that a delay of the
// load generator counts as latency.
func (c Call) Latency() time.Duration {
	return c.Ended.Sub(c.Intended)
}

const (
	headerRequestID = "Fireflychute-Request-Id"
	headerOutcome   = "Fireflychute-Outcome"
	// callTimeout is longer than any route's timeout, so that a call without a response is
	// recorded as unknown.
	callTimeout = 35 * time.Second
)

// doRequest sends one call and sets its outcome. The ID is also the last element of the path, so
// that the target's execution log has it even if a node drops the header.
func (l *Load) doRequest(route Route, node *Node, call *Call) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s%s%s?bytes=%d", node.CallerAddress, route.Prefix, call.ID, route.BodyBytes)
	// The transport retries requests on broken connections unless their body cannot be rewound.
	// This body is empty, so no body bytes are sent.
	request, err := http.NewRequestWithContext(ctx, route.Method, url, io.NopCloser(strings.NewReader("")))
	if err != nil {
		call.Outcome, call.Detail = NotSent, err.Error()
		return
	}
	request.Header.Set(headerRequestID, call.ID)
	if !route.Idempotent {
		// The canonical form of this key would make the transport treat the call as safe to retry.
		request.Header["idempotency-key"] = []string{call.ID}
	}
	response, err := l.client.Do(request)
	if err != nil {
		call.Outcome, call.Detail = outcomeOfError(err), err.Error()
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		call.Outcome, call.Detail = Unknown, err.Error()
		return
	}
	classify(route, call, response, body)
}

// outcomeOfError returns NotRun for a failed connection attempt and Unknown for errors after
// which the call may have run.
func outcomeOfError(err error) Outcome {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return NotRun
	}
	return Unknown
}

func classify(route Route, call *Call, response *http.Response, body []byte) {
	call.Detail = strconv.Itoa(response.StatusCode)
	switch {
	case response.StatusCode == http.StatusOK:
		call.Outcome = Answered
		call.WrongBody = !isOwnBody(route, call.ID, body)
	case response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(headerOutcome) == "not-run":
		call.Outcome = NotRun
	case response.StatusCode == http.StatusInternalServerError && response.Header.Get(headerOutcome) == "":
		call.Outcome = Failed
	default:
		call.Outcome = Unknown
	}
}

// isOwnBody reports whether body is the complete response of a target to this call. Its first line
// ends with the path, whose last element is the call's ID.
func isOwnBody(route Route, id string, body []byte) bool {
	suffix := " " + route.Prefix + id + "\n"
	firstLineLength := len(body) - route.BodyBytes
	if firstLineLength < len(suffix) {
		return false
	}
	return string(body[firstLineLength-len(suffix):firstLineLength]) == suffix
}
