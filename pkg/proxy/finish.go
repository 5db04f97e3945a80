package proxy

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/fireflychute/fireflychute/pkg/explain"
)

// abort ends a request for which there is no further target. It was not run
// only if no earlier try may have run it.
func (c *call) abort(retryAfter time.Duration, reason string) bool {
	if c.unknownAttempts > 0 {
		return c.fail(http.StatusBadGateway, retryAfter, OutcomeUnknown, reason)
	}
	return c.reject(http.StatusServiceUnavailable, retryAfter, reason)
}

func (c *call) reject(status int, retryAfter time.Duration, reason string) bool {
	if c.metrics == nil {
		c.metrics = c.handler.options.Telemetry.Route("")
	}
	c.metrics.CountRejection(rejectionLabel(reason))
	return c.fail(status, retryAfter, OutcomeNotRun, reason)
}

// fail answers with an error of the node. It returns false for the callers' sake.
func (c *call) fail(status int, retryAfter time.Duration, outcome, reason string) bool {
	if retryAfter > 0 {
		c.w.Header().Set("Retry-After", strconv.Itoa(int((retryAfter+time.Second-1)/time.Second)))
	}
	header := c.w.Header()
	header.Set(HeaderOutcome, outcome)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("X-Content-Type-Options", "nosniff")
	// With a length the answer is complete when it is flushed, before the rest of
	// the request's body is read.
	header.Set("Content-Length", strconv.Itoa(len(reason)+1))
	c.w.WriteHeader(status)
	_, _ = fmt.Fprintln(c.w, reason)
	c.recordResult(status, outcome, reason)
	return false
}

// recordResult records the end of the request.
func (c *call) recordResult(status int, outcome, reason string) {
	c.metrics.RecordResponse(status, c.handler.now().Sub(c.start))
	c.span.End(status, reason)
	ring := c.handler.options.Explain
	isNotable := outcome != "" || len(c.attempts) > 1
	if !isNotable && !ring.SampleOrdinary() {
		return
	}
	decision := explain.Decision{
		RequestID: c.id, Time: c.start, Attempts: explainAttempts(c.attempts), Rejected: outcome == OutcomeNotRun,
		Status: status, Outcome: outcome, Reason: reason,
	}
	if c.route != nil {
		decision.Route = c.route.Name
	}
	if c.caller != nil {
		decision.Caller = c.caller.Name
	}
	ring.Add(decision)
}
