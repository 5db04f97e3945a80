package proxy

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/fireflychute/fireflychute/pkg/explain"
)

// abort ends a call that cannot be sent any further. It is reported as not run only if no earlier
// attempt may have run it.
func (c *call) abort(retryAfter time.Duration, reason string) bool {
	if c.unknownAttempts > 0 {
		return c.fail(http.StatusBadGateway, retryAfter, OutcomeUnknown, reason)
	}
	return c.reject(http.StatusServiceUnavailable, retryAfter, reason)
}

// reject ends a call that was not run and counts the rejection by reason.
func (c *call) reject(status int, retryAfter time.Duration, reason string) bool {
	if c.metrics == nil {
		c.metrics = c.handler.options.Telemetry.Route("")
	}
	c.metrics.CountRejection(rejectionLabel(reason))
	return c.fail(status, retryAfter, OutcomeNotRun, reason)
}

// fail responds with an error of the node. It always returns false, for use in return statements.
func (c *call) fail(status int, retryAfter time.Duration, outcome, reason string) bool {
	if retryAfter > 0 {
		c.w.Header().Set("Retry-After", strconv.Itoa(int((retryAfter+time.Second-1)/time.Second)))
	}
	header := c.w.Header()
	header.Set(HeaderOutcome, outcome)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("X-Content-Type-Options", "nosniff")
	// With a length the response is complete when it is flushed, before the rest of the request
	// body is read.
	header.Set("Content-Length", strconv.Itoa(len(reason)+1))
	c.w.WriteHeader(status)
	_, _ = fmt.Fprintln(c.w, reason)
	c.recordResult(status, outcome, reason)
	return false
}

// recordResult records the end of the call in metrics, the span and the decisions for pkg/explain.
// There, calls with an outcome or several attempts are always kept, others are sampled.
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
