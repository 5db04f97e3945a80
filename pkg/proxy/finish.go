package proxy

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/fireflychute/fireflychute/pkg/explain"
)

// giveUp ends a request for which there is no further target. It was not run
// only if no earlier try may have run it.
func (c *call) giveUp(after time.Duration, reason string) bool {
	if c.unknown > 0 {
		return c.fail(http.StatusBadGateway, after, OutcomeUnknown, reason)
	}
	return c.refuse(http.StatusServiceUnavailable, after, reason)
}

func (c *call) refuse(status int, after time.Duration, reason string) bool {
	if c.metrics == nil {
		c.metrics = c.handler.options.Telemetry.Route("")
	}
	c.metrics.CountRejection(refusalLabel(reason))
	return c.fail(status, after, OutcomeNotRun, reason)
}

// fail answers with an error of the node. It returns false for the callers' sake.
func (c *call) fail(status int, after time.Duration, outcome, reason string) bool {
	if after > 0 {
		c.w.Header().Set("Retry-After", strconv.Itoa(int((after+time.Second-1)/time.Second)))
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
	c.conclude(status, outcome, reason)
	return false
}

// conclude records the end of the request.
func (c *call) conclude(status int, outcome, reason string) {
	c.metrics.RecordResponse(status, c.handler.now().Sub(c.began))
	c.span.End(status, reason)
	ring := c.handler.options.Explain
	eventful := outcome != "" || len(c.tries) > 1
	if !eventful && !ring.SampleOrdinary() {
		return
	}
	decision := explain.Decision{
		RequestID: c.id, Time: c.began, Attempts: explained(c.tries), Rejected: outcome == OutcomeNotRun,
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
