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

// coldRequests is how many requests a cold target may serve slowly, to all nodes
// together, before that counts against its version. A ramp to 12 units ends after
// about as many.
const coldRequests = 100

// try sends the request to the chosen target. It returns true when the request
// is finished.
func (c *call) try() bool {
	chosen := c.chosen.target
	defer c.gate.release(chosen)
	c.tried = append(c.tried, chosen)
	c.note()
	if c.ctx.Err() != nil {
		return !c.giveUp(time.Second, reasonDeadline)
	}
	header := c.outgoingHeaders()
	span := c.startSpan(header)
	sent := c.handler.now()
	chosen.Counters.Sent.Add(1)
	answer, err := c.handler.options.Client.Do(c.outgoing(header), connectionsTo(chosen))
	c.tries[len(c.tries)-1].latency = c.handler.now().Sub(sent)
	if err != nil {
		span.End(0, err.Error())
		return c.failed(err, sent)
	}
	defer answer.Body.Close()
	defer c.body.detach()
	span.End(answer.StatusCode, "")
	notRun := c.readReport(answer)
	if notRun {
		return c.refusedByTarget(answer)
	}
	c.pass(answer, sent)
	return true
}

func (c *call) outgoingHeaders() http.Header {
	remaining := c.deadline.Sub(c.handler.now())
	if c.chosen.target.Relay {
		return headersToRelay(c, remaining)
	}
	return headersToTarget(c, remaining)
}

func (c *call) note() {
	c.metrics.Count(telemetry.Attempts)
	if len(c.tried) > 1 {
		c.metrics.Count(telemetry.Retries)
	}
	c.tries = append(c.tries, try{choice: c.chosen})
}

// startSpan starts the span of a try; the attributes are only made for a request
// that is sampled.
func (c *call) startSpan(header http.Header) *telemetry.Span {
	if c.span == nil {
		return nil
	}
	return c.span.StartAttempt(c.chosen.target.Address, c.chosen.names(), fmt.Sprintf("%+v", c.chosen.evidence), header)
}

// try is a try of a request as it is remembered for explain.
type try struct {
	choice
	failure string
	latency time.Duration // to the answer's header or to the failure
}

func (c *choice) names() []string {
	names := make([]string, len(c.among))
	for i, t := range c.among {
		names[i] = t.Address
	}
	return names
}

func explained(tries []try) []explain.Attempt {
	told := make([]explain.Attempt, len(tries))
	for i := range tries {
		t := &tries[i]
		told[i] = explain.Attempt{
			Target: t.target.Address, Version: t.target.Version, Candidates: t.names(), Evidence: t.evidence,
			Failure: t.failure, LatencyMicros: t.latency.Microseconds(),
		}
	}
	return told
}

func connectionsTo(t *snapshot.Target) int {
	if t.Connections > 0 {
		return t.Connections
	}
	return t.Units
}

func (c *call) outgoing(header http.Header) *http.Request {
	url := *c.request.URL
	url.Scheme, url.Host = "http", c.chosen.target.Address
	out := &http.Request{
		Method: c.request.Method, URL: &url, Host: c.request.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	c.body = nil
	if c.request.Body != nil && c.request.Body != http.NoBody {
		c.body = &tryBody{inner: c.request.Body}
		out.Body, out.ContentLength = c.body, c.request.ContentLength
	}
	return out.WithContext(c.ctx)
}

// readReport stores the load report. It tells whether the target refused to run
// the request.
func (c *call) readReport(answer *http.Response) bool {
	counters := c.chosen.target.Counters
	declared := retry.Outcome(answer.Header.Get(HeaderOutcome))
	notRun := retry.Classify(retry.Failure{Status: answer.StatusCode, Declared: declared}) == retry.NotRun
	if c.handler.options.ParseReport == nil {
		return notRun
	}
	report, ok := c.handler.options.ParseReport(answer.Header.Get(HeaderLoad))
	if !ok {
		return notRun
	}
	report.ArrivedNanos = nanos(c.handler.now())
	counters.Reported(&report)
	return notRun
}

// refusedByTarget tries elsewhere, or passes the refusal on.
func (c *call) refusedByTarget(answer *http.Response) bool {
	decision := c.decide(retry.NotRun, "refused by target")
	if decision.Again {
		return false
	}
	if decision.Outcome == retry.Unknown {
		return !c.fail(http.StatusBadGateway, 0, OutcomeUnknown, decision.Reason)
	}
	if answer.Header.Get("Retry-After") == "" {
		answer.Header.Set("Retry-After", "1")
	}
	copyAnswerHeaders(c.w.Header(), answer)
	c.w.WriteHeader(answer.StatusCode)
	_ = stream(c.w, answer)
	c.metrics.CountRejection(labelTarget)
	c.conclude(answer.StatusCode, OutcomeNotRun, decision.Reason)
	return true
}

func (c *call) decide(outcome retry.Outcome, failure string) retry.Decision {
	consumed, _ := c.body.detach()
	if outcome == retry.Unknown {
		c.unknown++
	}
	c.tries[len(c.tries)-1].failure = failure
	return c.gate.budget.Decide(retry.Try{
		Outcome: outcome, Tries: len(c.tried), Unknown: c.unknown, Idempotent: c.route.Work.Idempotent,
		Depth: c.depth, NoRetry: c.noRetry, Consumed: consumed, Expired: c.ctx.Err() != nil,
	})
}

// failed follows an exchange without an answer.
func (c *call) failed(err error, sent time.Time) bool {
	var failure *transport.Error
	notSent := errors.As(err, &failure) && failure.NotRun
	if failure != nil {
		c.noteFailure(failure)
	}
	_, bodyErr := c.body.detach()
	outcome := retry.Classify(retry.Failure{NotSent: notSent})
	if c.request.Context().Err() == nil && bodyErr == nil {
		c.count(sent, true, outcome == retry.Unknown)
	}
	decision := c.decide(outcome, err.Error())
	if decision.Again {
		return false
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(bodyErr, &tooLarge):
		return !c.fail(http.StatusRequestEntityTooLarge, 0, string(decision.Outcome), reasonTooLarge)
	case decision.Outcome == retry.NotRun:
		return !c.refuse(http.StatusServiceUnavailable, time.Second, err.Error())
	case errors.Is(c.ctx.Err(), context.DeadlineExceeded):
		return !c.fail(http.StatusGatewayTimeout, 0, OutcomeUnknown, err.Error())
	default:
		return !c.fail(http.StatusBadGateway, 0, OutcomeUnknown, err.Error())
	}
}

// noteFailure tells the target's counters what kind of failure it was.
func (c *call) noteFailure(failure *transport.Error) {
	counters := c.chosen.target.Counters
	switch {
	case failure.Refused:
		counters.Refused.Add(1)
	case c.ctx.Err() == nil && failure.Step != transport.StepDial:
		counters.Broken(nanos(c.handler.now()))
	}
}

// pass sends the target's answer to the caller. An answer that breaks off ends
// as a broken transfer.
func (c *call) pass(answer *http.Response, sent time.Time) {
	copyAnswerHeaders(c.w.Header(), answer)
	c.w.WriteHeader(answer.StatusCode)
	err := stream(c.w, answer)
	if err == nil {
		failed := answer.StatusCode >= http.StatusInternalServerError
		c.count(sent, failed, true)
		c.conclude(answer.StatusCode, "", "")
		return
	}
	var failure *transport.Error
	if errors.As(err, &failure) && c.request.Context().Err() == nil {
		c.noteFailure(failure)
		c.count(sent, true, true)
	}
	c.conclude(answer.StatusCode, OutcomeUnknown, err.Error())
	panic(http.ErrAbortHandler)
}

// count adds the try to the target's counters and, if it was run, to the
// version's outcomes.
func (c *call) count(sent time.Time, failed, ran bool) {
	latency := c.handler.now().Sub(sent)
	chosen := c.chosen.target
	reference := int64(c.route.Service.Spec.ReferenceLatencyMs) * time.Millisecond.Microseconds()
	chosen.Counters.Done(latency, failed, reference)
	if !failed {
		c.gate.budget.Succeeded()
	}
	recorder := c.route.Recorders[chosen.Version]
	if !ran || recorder == nil || chosen.Relay {
		return
	}
	if isTimed(chosen) {
		recorder.Record(latency, failed)
		return
	}
	recorder.RecordUntimed(failed)
}

// isTimed tells whether the latency of a target says something of its version. A
// cold target is slow whatever its version; a target that stays cold after many
// requests is not.
func isTimed(chosen *snapshot.Target) bool {
	report := chosen.Counters.LastReport.Load()
	return !chosen.Cold || report != nil && report.Served > coldRequests
}
