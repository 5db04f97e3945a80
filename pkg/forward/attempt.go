package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fireflychute/fireflychute/pkg/hopbyhop"
	"github.com/fireflychute/fireflychute/pkg/placement"
	"github.com/fireflychute/fireflychute/pkg/retry"
	"github.com/fireflychute/fireflychute/pkg/topology"
	"github.com/fireflychute/fireflychute/pkg/transport"
)

// responseBufferBytes is how much of a response is buffered before any of it is sent to the
// caller. If the transfer breaks off earlier, the request can still be retried.
const responseBufferBytes = 128 << 10

// attempt is an attempt in progress. Its record describes the start; the outcome is added to the
// record of the result.
type attempt struct {
	record Attempt
	// candidate is the load on which the target was selected.
	candidate placement.Candidate
	target    *topology.Target
	start     time.Time
	cancel    context.CancelFunc
}

// result is an attempt with its outcome.
type result struct {
	attempt
	// response is set if the attempt succeeded; bufferedBody is the beginning of its body.
	response     *http.Response
	bufferedBody []byte
	info         ResponseInfo
}

// discard releases an attempt whose response is not needed.
func (r *result) discard() {
	r.cancel()
	if r.response != nil {
		_ = r.response.Body.Close()
		r.target.Observed.Abandon()
	}
}

// launch sends the request to the selected target in the background.
func (c *call) launch(selected *selectedTarget, isHedge bool, results chan<- *result) *attempt {
	target := selected.target
	c.attempted = append(c.attempted, target)
	ctx, cancel := context.WithCancel(c.ctx)
	out := c.outgoing(ctx, target)
	a := attempt{target: target, candidate: selected.candidate, cancel: cancel, start: time.Now(), record: Attempt{
		Target: target.ID, Version: target.Version, Canary: selected.canary, Order: c.service.Order,
		Load: selected.load(), Probed: selected.probed, Responded: selected.responded, Cost: selected.cost,
		Age: time.Since(selected.receivedAt), Unprobed: selected.unprobed, Hedge: isHedge,
	}}
	if limit, limited := c.handler.options.Limits.Get(keyOf(target)); limited {
		a.record.Limited, a.record.Limit = true, limit.Rate
	}
	r := &result{attempt: a}
	target.Observed.Begin()
	go func() {
		c.exchange(ctx, r, out)
		c.serviceState.waitlist.NotifySlotFreed()
		results <- r
	}()
	return &a
}

// exchange makes one attempt and buffers the beginning of the response. It runs concurrently with
// the call, so it changes only the result and what this node observed of the target.
func (c *call) exchange(ctx context.Context, r *result, out *http.Request) {
	response, err := c.handler.options.Client.Do(out, r.target.Connections)
	if err != nil {
		r.recordFailure(ctx, err)
		return
	}
	r.record.Status = response.StatusCode
	r.info = c.handler.options.Protocol.ReadResponse(response.StatusCode, response.Header)
	if r.info.RequestID != c.record.ID {
		// It may be a late copy of the rejection of something else.
		r.info.NotRun, r.info.OtherTarget = false, false
	}
	c.handler.applyAvailability(r.target, r.info.Availability)
	if r.info.RequestID == c.record.ID && !r.info.OtherTarget {
		c.handler.applyLimit(r.target, r.info.Limit, r.start)
	}
	failure := c.checkResponse(r)
	if failure == "" {
		r.bufferedBody, err = io.ReadAll(io.LimitReader(response.Body, responseBufferBytes+1))
		if err != nil {
			failure = ReasonBroken + ": " + err.Error()
		}
	}
	r.record.Latency = time.Since(r.start)
	if failure == "" {
		r.response = response
		return
	}
	_ = response.Body.Close()
	r.recordBadResponse(ctx, failure)
}

// checkResponse returns why a response cannot be forwarded, or "" if it can.
func (c *call) checkResponse(r *result) string {
	switch {
	case r.info.NotRun:
		return ReasonTargetRefused
	case !r.info.Genuine || r.info.RequestID != c.record.ID || r.info.PromisesNotRun && !c.route.Idempotent:
		return ReasonWrongResponse
	case r.record.Status >= http.StatusInternalServerError && c.route.Idempotent && len(c.attempted) < c.route.Attempts:
		return "target answered with status " + strconv.Itoa(r.record.Status)
	default:
		return ""
	}
}

// recordFailure records an attempt without a response.
func (r *result) recordFailure(ctx context.Context, err error) {
	now := time.Now()
	var failure *transport.Error
	r.record.Failure, r.record.Latency = err.Error(), now.Sub(r.start)
	r.record.NotRun = errors.As(err, &failure) && failure.NotRun
	switch {
	case ctx.Err() != nil:
		r.record.Failed = errors.Is(ctx.Err(), context.DeadlineExceeded)
		r.target.Observed.Abandon()
	case r.record.NotRun:
		r.record.Failed = true
		r.target.Observed.RecordUnreachable(now)
		r.target.Observed.Abandon()
	default:
		r.record.Failed = true
		r.target.Observed.End(now, true)
	}
}

// recordBadResponse records a response that cannot be forwarded.
func (r *result) recordBadResponse(ctx context.Context, failure string) {
	r.record.Failure, r.record.NotRun = failure, r.info.NotRun
	switch {
	case r.info.NotRun:
		if r.info.OtherTarget {
			r.target.Observed.MarkLeaving()
		}
		// A target that rejects requests although it reported free capacity is no better
		// than one that fails them.
		r.target.Observed.End(time.Now(), true)
	case ctx.Err() != nil:
		r.record.Failed = errors.Is(ctx.Err(), context.DeadlineExceeded)
		r.target.Observed.Abandon()
	default:
		r.record.Failed = true
		r.target.Observed.End(time.Now(), true)
	}
}

// recordAttempt adds the result of an attempt to the record of the request.
func (c *call) recordAttempt(r *result) {
	c.record.Attempts = append(c.record.Attempts, r.record)
	c.serviceState.overload.RecordAttempt(r.info.NotRun)
	if !r.record.NotRun {
		c.mayHaveRun = true
	}
	if r.info.OtherTarget || r.record.NotRun && r.record.Status == 0 {
		c.unreached++
	}
}

func (c *call) outgoing(ctx context.Context, target *topology.Target) *http.Request {
	url := *c.request.URL
	url.Scheme, url.Host = "http", target.Address
	out := &http.Request{
		Method: c.request.Method, URL: &url, Host: c.request.Host, Header: c.request.Header.Clone(),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	hopbyhop.Remove(out.Header)
	if _, set := out.Header["User-Agent"]; !set {
		out.Header["User-Agent"] = nil // keeps http.Transport from adding its own
	}
	body, length := c.outgoingBody()
	if body != nil {
		out.Body, out.ContentLength = io.NopCloser(body), length
	}
	c.handler.options.Protocol.WriteRequest(out.Header, c.record.ID, target.ID, time.Until(c.deadline))
	return out.WithContext(ctx)
}

// forwardResponse sends the response to the caller. If a response longer than the buffer breaks
// off, the transfer to the caller is aborted as well.
func (c *call) forwardResponse(r *result) {
	defer r.cancel()
	defer r.response.Body.Close()
	copyHeader(c.w.Header(), r.response.Header)
	complete := len(r.bufferedBody) <= responseBufferBytes
	if complete && c.request.Method != http.MethodHead {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(r.bufferedBody)))
	}
	c.w.WriteHeader(r.record.Status)
	written, err := c.w.Write(r.bufferedBody)
	c.record.Bytes, c.record.Status = int64(written), r.record.Status
	if !complete && err == nil {
		var more int64
		more, err = io.Copy(c.w, r.response.Body)
		c.record.Bytes += more
	}
	if err != nil {
		c.abortTransfer(r, err)
	}
	failed := r.record.Status >= http.StatusInternalServerError
	c.record.Attempts[len(c.record.Attempts)-1].Failed = failed
	c.record.Outcome = retry.Answered
	r.target.Observed.End(time.Now(), failed)
	if !failed {
		c.routeState.latency.add(r.record.Latency)
		if !r.record.Unprobed {
			c.routeState.model.ObserveLatency(r.candidate, r.record.Latency)
		}
		c.serviceState.overload.RecordRequest(false)
	}
}

// abortTransfer ends the request by aborting the caller's connection or stream.
func (c *call) abortTransfer(r *result, err error) {
	c.record.Outcome, c.record.Reason = retry.Unknown, err.Error()
	if c.ctx.Err() != nil {
		r.target.Observed.Abandon()
	} else {
		c.record.Attempts[len(c.record.Attempts)-1].Failed = true
		r.target.Observed.End(time.Now(), true)
	}
	panic(http.ErrAbortHandler)
}

func copyHeader(to, from http.Header) {
	hopbyhop.Remove(from)
	for name, values := range from {
		to[name] = values
	}
}
