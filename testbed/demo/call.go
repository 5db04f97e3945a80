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

// Outcome is what a caller learned of a call.
type Outcome string

// Outcomes of calls.
const (
	// Answered is a complete response of a target that succeeded.
	Answered Outcome = "answered"
	// Failed is a complete response in which the target reports a failure.
	Failed Outcome = "failed"
	// NotRun is a refusal that states that the call was not run.
	NotRun Outcome = "not run"
	// Unknown is any other failure.
	Unknown Outcome = "unknown"
	// NotSent is a call for which no node was ready or too many were in flight.
	NotSent Outcome = "not sent"
)

// Call is one call and what became of it.
type Call struct {
	Route, ID, Node string
	Intended, Ended time.Time
	Outcome         Outcome
	// WrongBody tells that a response was not that of this call, or not complete.
	WrongBody bool
	Detail    string
}

// Latency counts from the intended time.
func (c Call) Latency() time.Duration {
	return c.Ended.Sub(c.Intended)
}

const (
	headerRequestID = "Fireflychute-Request-Id"
	headerOutcome   = "Fireflychute-Outcome"
	// callTimeout is longer than any route's timeout, so that a call that no one
	// answers is seen as unknown.
	callTimeout = 35 * time.Second
)

// doRequest sends one call and fills in its outcome. The id is also the last part
// of the path, so that the target's log has it even if a node drops the header.
func (l *Load) doRequest(route Route, node *Node, call *Call) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s%s%s?bytes=%d", node.CallerAddress, route.Prefix, call.ID, route.BodyBytes)
	// A body that the transport cannot read again keeps it from resending the call
	// when a connection breaks. It is empty, so none is sent.
	request, err := http.NewRequestWithContext(ctx, route.Method, url, io.NopCloser(strings.NewReader("")))
	if err != nil {
		call.Outcome, call.Detail = NotSent, err.Error()
		return
	}
	request.Header.Set(headerRequestID, call.ID)
	if !route.Idempotent {
		// The canonical form of this key would let the transport resend the call.
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

// outcomeOfError tells a call that no node took from one that may have run.
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

// isOwnBody tells whether a body is the complete one that targets send for a call.
// Its first line ends with the path, whose last part is the call's id.
func isOwnBody(route Route, id string, body []byte) bool {
	suffix := " " + route.Prefix + id + "\n"
	firstLineLength := len(body) - route.BodyBytes
	if firstLineLength < len(suffix) {
		return false
	}
	return string(body[firstLineLength-len(suffix):firstLineLength]) == suffix
}
