package proxy

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/explain"
	"github.com/fireflychute/fireflychute/pkg/retry"
	"github.com/fireflychute/fireflychute/pkg/snapshot"
	"github.com/fireflychute/fireflychute/pkg/telemetry"
	"github.com/fireflychute/fireflychute/pkg/transport"
)

// maxColdRequests is how many requests, of all nodes together, a cold target may serve slowly
// before its latency counts against its version. A ramp up to 12 units takes about as many.
const maxColdRequests = 100

// sendAttempt sends the request to the chosen target. It returns true when the call is finished
// and false when it is to be retried.
func (c *call) sendAttempt() bool {
	chosen := c.chosen.target
	defer c.gate.releaseUnit(chosen)
	c.attempted = append(c.attempted, chosen)
	c.recordAttempt()
	if c.ctx.Err() != nil {
		return !c.abort(time.Second, reasonDeadline)
	}
	header := c.attemptHeaders()
	span := c.startSpan(header)
	sent := c.handler.now()
	chosen.Counters.Sent.Add(1)
	response, err := c.handler.options.Client.Do(c.newTargetRequest(header), connectionLimit(chosen))
	c.attempts[len(c.attempts)-1].latency = c.handler.now().Sub(sent)
	if err != nil {
		span.End(0, err.Error())
		return c.handleFailure(err, sent)
	}
	defer response.Body.Close()
	defer c.body.detach()
	span.End(response.StatusCode, "")
	notRun := c.recordLoadReport(response)
	if notRun {
		return c.handleRejection(response)
	}
	c.forwardResponse(response, sent)
	return true
}

func (c *call) attemptHeaders() http.Header {
	remaining := c.deadline.Sub(c.handler.now())
	if c.chosen.target.IsRelay {
		return relayHeaders(c, remaining)
	}
	return targetHeaders(c, remaining)
}

func (c *call) recordAttempt() {
	c.metrics.Count(telemetry.Attempts)
	if len(c.attempted) > 1 {
		c.metrics.Count(telemetry.Retries)
	}
	c.attempts = append(c.attempts, attempt{choice: c.chosen})
}

// startSpan starts the span of an attempt. The attributes are only computed for a sampled request.
func (c *call) startSpan(header http.Header) *telemetry.Span {
	if c.span == nil {
		return nil
	}
	return c.span.StartAttempt(c.chosen.target.Address, c.chosen.candidateAddresses(), fmt.Sprintf("%+v", c.chosen.evidence), header)
}

// attempt is the record of one attempt for pkg/explain.
type attempt struct {
	choice
	failure string
	latency time.Duration // until the response header or the failure
}

func (c *choice) candidateAddresses() []string {
	names := make([]string, len(c.candidates))
	for i, t := range c.candidates {
		names[i] = t.Address
	}
	return names
}

func explainAttempts(attempts []attempt) []explain.Attempt {
	explained := make([]explain.Attempt, len(attempts))
	for i := range attempts {
		a := &attempts[i]
		explained[i] = explain.Attempt{
			Target: a.target.Address, Version: a.target.Version, Candidates: a.candidateAddresses(), Evidence: a.evidence,
			Failure: a.failure, LatencyMicros: a.latency.Microseconds(),
		}
	}
	return explained
}

// connectionLimit returns how many connections this node may open to a target.
func connectionLimit(t *snapshot.Target) int {
	if t.Connections > 0 {
		return t.Connections
	}
	return t.Units
}

func (c *call) newTargetRequest(header http.Header) *http.Request {
	url := *c.request.URL
	url.Scheme, url.Host = "http", c.chosen.target.Address
	out := &http.Request{
		Method: c.request.Method, URL: &url, Host: c.request.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	c.body = nil
	if c.request.Body != nil && c.request.Body != http.NoBody {
		c.body = &attemptBody{inner: c.request.Body}
		out.Body, out.ContentLength = c.body, c.request.ContentLength
	}
	return out.WithContext(c.ctx)
}

// recordLoadReport stores the load report of a response. It reports whether the target declared
// that it did not run the request.
func (c *call) recordLoadReport(response *http.Response) bool {
	counters := c.chosen.target.Counters
	declared := retry.Outcome(response.Header.Get(HeaderOutcome))
	notRun := retry.Classify(retry.Failure{Status: response.StatusCode, Declared: declared}) == retry.NotRun
	if c.handler.options.ParseReport == nil {
		return notRun
	}
	report, ok := c.handler.options.ParseReport(response.Header.Get(HeaderLoad))
	if !ok {
		return notRun
	}
	report.ArrivedNanos = nanos(c.handler.now())
	counters.RecordReport(&report)
	return notRun
}

// handleRejection returns false if the call is to be retried. Otherwise it forwards the target's
// rejection, or reports an unknown outcome if an earlier attempt may have run.
func (c *call) handleRejection(response *http.Response) bool {
	decision := c.decideRetry(retry.NotRun, "refused by target")
	if decision.Retry {
		return false
	}
	if decision.Outcome == retry.Unknown {
		return !c.fail(http.StatusBadGateway, 0, OutcomeUnknown, decision.Reason)
	}
	if response.Header.Get("Retry-After") == "" {
		response.Header.Set("Retry-After", "1")
	}
	copyResponseHeaders(c.w.Header(), response)
	c.w.WriteHeader(response.StatusCode)
	_ = copyResponseBody(c.w, response)
	c.metrics.CountRejection(labelTarget)
	c.recordResult(response.StatusCode, OutcomeNotRun, decision.Reason)
	return true
}

// decideRetry records the failure of the last attempt and decides whether to retry.
func (c *call) decideRetry(outcome retry.Outcome, failure string) retry.Decision {
	consumed, _ := c.body.detach()
	if outcome == retry.Unknown {
		c.unknownAttempts++
	}
	c.attempts[len(c.attempts)-1].failure = failure
	return c.gate.budget.Decide(retry.Attempt{
		Outcome: outcome, Attempts: len(c.attempted), UnknownOutcomes: c.unknownAttempts, Idempotent: c.route.WorkKind.Idempotent,
		Depth: c.depth, NoRetry: c.noRetry, BodyConsumed: consumed, Expired: c.ctx.Err() != nil,
	})
}

// handleFailure handles an attempt that ended without a response. Like sendAttempt it returns true
// when the call is finished.
func (c *call) handleFailure(err error, sent time.Time) bool {
	var failure *transport.Error
	notSent := errors.As(err, &failure) && failure.NotRun
	if failure != nil {
		c.recordConnFailure(failure)
	}
	_, bodyErr := c.body.detach()
	outcome := retry.Classify(retry.Failure{NotSent: notSent})
	if c.request.Context().Err() == nil && bodyErr == nil {
		c.recordOutcome(sent, true, outcome == retry.Unknown)
	}
	decision := c.decideRetry(outcome, err.Error())
	if decision.Retry {
		return false
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(bodyErr, &tooLarge):
		return !c.fail(http.StatusRequestEntityTooLarge, 0, string(decision.Outcome), reasonTooLarge)
	case decision.Outcome == retry.NotRun:
		return !c.reject(http.StatusServiceUnavailable, time.Second, err.Error())
	case errors.Is(c.ctx.Err(), context.DeadlineExceeded):
		return !c.fail(http.StatusGatewayTimeout, 0, OutcomeUnknown, err.Error())
	default:
		return !c.fail(http.StatusBadGateway, 0, OutcomeUnknown, err.Error())
	}
}

// recordConnFailure records a refused or broken connection in the target's counters.
func (c *call) recordConnFailure(failure *transport.Error) {
	counters := c.chosen.target.Counters
	switch {
	case failure.Refused:
		counters.Refused.Add(1)
	case c.ctx.Err() == nil && failure.Step != transport.StepDial:
		counters.RecordBrokenConnection(nanos(c.handler.now()))
	}
}

// forwardResponse sends the target's response to the caller. If the response is truncated, the
// connection to the caller is aborted, so that the caller does not take it for complete.
func (c *call) forwardResponse(response *http.Response, sent time.Time) {
	copyResponseHeaders(c.w.Header(), response)
	c.w.WriteHeader(response.StatusCode)
	err := copyResponseBody(c.w, response)
	if err == nil {
		failed := response.StatusCode >= http.StatusInternalServerError
		c.recordOutcome(sent, failed, true)
		c.recordResult(response.StatusCode, "", "")
		return
	}
	var failure *transport.Error
	if errors.As(err, &failure) && c.request.Context().Err() == nil {
		c.recordConnFailure(failure)
		c.recordOutcome(sent, true, true)
	}
	c.recordResult(response.StatusCode, OutcomeUnknown, err.Error())
	panic(http.ErrAbortHandler)
}

// recordOutcome adds the attempt to the target's counters and, if it was or may have been run, to
// the outcomes of the version.
func (c *call) recordOutcome(sent time.Time, failed, ran bool) {
	latency := c.handler.now().Sub(sent)
	chosen := c.chosen.target
	reference := int64(c.route.Service.Spec.ReferenceLatencyMs) * time.Millisecond.Microseconds()
	chosen.Counters.RecordResponse(latency, failed, reference)
	if !failed {
		c.gate.budget.RecordSuccess()
	}
	recorder := c.route.Recorders[chosen.Version]
	if !ran || recorder == nil || chosen.IsRelay {
		return
	}
	if hasRepresentativeLatency(chosen) {
		recorder.Record(latency, failed)
		return
	}
	recorder.RecordUntimed(failed)
}

// hasRepresentativeLatency reports whether the latency of a target is evidence about its version.
// A cold target is slow whatever its version, but one that is still cold after more than
// maxColdRequests requests counts.
func hasRepresentativeLatency(chosen *snapshot.Target) bool {
	report := chosen.Counters.LastReport.Load()
	return !chosen.Cold || report != nil && report.Served > maxColdRequests
}
