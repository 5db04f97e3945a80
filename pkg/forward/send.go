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

// keptBytes is how much of an answer is read before the caller gets any of it. An
// answer that breaks off before can still be replaced.
const keptBytes = 128 << 10

// send is a send that is running. Its try is as it was at the start.
type send struct {
	try Try
	// candidate is the load on which the target was chosen.
	candidate placement.Candidate
	target    *topology.Target
	at        time.Time
	cancel    context.CancelFunc
}

// result is a send and what came of it.
type result struct {
	send
	// answer is set when the target answered well; kept is the beginning of its body.
	answer *http.Response
	kept   []byte
	info   AnswerInfo
}

// discard ends a send whose answer is not needed.
func (r *result) discard() {
	r.cancel()
	if r.answer != nil {
		_ = r.answer.Body.Close()
		r.target.Observed.Abandon()
	}
}

// launch sends the request to the chosen target in the background.
func (c *call) launch(chosen *choice, results chan<- *result) *send {
	target := chosen.target
	c.tried = append(c.tried, target)
	ctx, cancel := context.WithCancel(c.ctx)
	out := c.outgoing(ctx, target)
	s := send{target: target, candidate: chosen.candidate, cancel: cancel, at: time.Now(), try: Try{
		Target: target.ID, Version: target.Version, Canary: chosen.canary, Order: c.service.Order,
		Load: chosen.load(), Asked: chosen.asked, Heard: chosen.answered, Cost: chosen.cost,
		Age: time.Since(chosen.at),
	}}
	r := &result{send: s}
	target.Observed.Begin()
	go func() {
		c.exchange(ctx, r, out)
		c.state.waiting.Freed()
		results <- r
	}()
	return &s
}

// exchange makes one send and reads the beginning of the answer. It runs beside the
// call, so it touches only the result and what was observed of the target.
func (c *call) exchange(ctx context.Context, r *result, out *http.Request) {
	answer, err := c.handler.options.Client.Do(out, r.target.Connections)
	if err != nil {
		r.failed(ctx, err)
		return
	}
	r.try.Status = answer.StatusCode
	r.info = c.handler.options.Protocol.ReadAnswer(answer.StatusCode, answer.Header)
	c.handler.heed(r.target, r.info.Notice)
	failure := c.checkAnswer(r)
	if failure == "" {
		r.kept, err = io.ReadAll(io.LimitReader(answer.Body, keptBytes+1))
		if err != nil {
			failure = ReasonBroken + ": " + err.Error()
		}
	}
	r.try.Latency = time.Since(r.at)
	if failure == "" {
		r.answer = answer
		return
	}
	_ = answer.Body.Close()
	r.rejected(ctx, failure)
}

// checkAnswer returns why an answer cannot be passed on, or nothing.
func (c *call) checkAnswer(r *result) string {
	switch {
	case r.info.NotRun:
		return ReasonTargetRefused
	case !r.info.Genuine || r.info.RequestID != c.record.ID || r.info.PromisesNotRun && !c.route.Idempotent:
		return ReasonWrongAnswer
	case r.try.Status >= http.StatusInternalServerError && c.route.Idempotent && len(c.tried) < c.route.Attempts:
		return "target answered with status " + strconv.Itoa(r.try.Status)
	default:
		return ""
	}
}

// failed follows a send without an answer.
func (r *result) failed(ctx context.Context, err error) {
	now := time.Now()
	var failure *transport.Error
	r.try.Failure, r.try.Latency = err.Error(), now.Sub(r.at)
	r.try.NotRun = errors.As(err, &failure) && failure.NotRun
	switch {
	case ctx.Err() != nil:
		r.try.Failed = errors.Is(ctx.Err(), context.DeadlineExceeded)
		r.target.Observed.Abandon()
	case r.try.NotRun:
		r.try.Failed = true
		r.target.Observed.RecordUnreachable(now)
		r.target.Observed.Abandon()
	default:
		r.try.Failed = true
		r.target.Observed.End(now, true)
	}
}

// rejected notes an answer that cannot be passed on.
func (r *result) rejected(ctx context.Context, failure string) {
	r.try.Failure, r.try.NotRun = failure, r.info.NotRun
	switch {
	case r.info.NotRun:
		if r.info.OtherTarget {
			r.target.Observed.MarkLeaving()
		}
		// A target that refuses although it said that it has room is no better than one
		// that fails.
		r.target.Observed.End(time.Now(), true)
	case ctx.Err() != nil:
		r.try.Failed = errors.Is(ctx.Err(), context.DeadlineExceeded)
		r.target.Observed.Abandon()
	default:
		r.try.Failed = true
		r.target.Observed.End(time.Now(), true)
	}
}

// take notes the result of a send.
func (c *call) take(r *result) {
	c.record.Tries = append(c.record.Tries, r.try)
	c.state.pressure.NoteSend(r.info.NotRun)
	if !r.try.NotRun {
		c.unknown = true
	}
	if r.info.OtherTarget || r.try.NotRun && r.try.Status == 0 {
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
		out.Header["User-Agent"] = nil // keeps the Transport from adding its own
	}
	body, length := c.outgoingBody()
	if body != nil {
		out.Body, out.ContentLength = io.NopCloser(body), length
	}
	c.handler.options.Protocol.WriteRequest(out.Header, c.record.ID, target.ID, time.Until(c.deadline))
	return out.WithContext(ctx)
}

// pass sends the answer to the caller. A long answer that breaks off ends as a
// broken transfer.
func (c *call) pass(r *result) {
	defer r.cancel()
	defer r.answer.Body.Close()
	copyHeader(c.w.Header(), r.answer.Header)
	whole := len(r.kept) <= keptBytes
	if whole && c.request.Method != http.MethodHead {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(r.kept)))
	}
	c.w.WriteHeader(r.try.Status)
	written, err := c.w.Write(r.kept)
	c.record.Bytes, c.record.Status = int64(written), r.try.Status
	if !whole && err == nil {
		var more int64
		more, err = io.Copy(c.w, r.answer.Body)
		c.record.Bytes += more
	}
	if err != nil {
		c.brokeOff(r, err)
	}
	failed := r.try.Status >= http.StatusInternalServerError
	c.record.Tries[len(c.record.Tries)-1].Failed = failed
	c.record.Outcome = retry.Answered
	r.target.Observed.End(time.Now(), failed)
	if !failed {
		c.learned.pace.add(r.try.Latency)
		c.learned.model.Learn(r.candidate, r.try.Latency)
		c.state.pressure.Note(false)
	}
}

// brokeOff ends the request as a broken transfer.
func (c *call) brokeOff(r *result, err error) {
	c.record.Outcome, c.record.Reason = retry.Unknown, err.Error()
	if c.ctx.Err() != nil {
		r.target.Observed.Abandon()
	} else {
		c.record.Tries[len(c.record.Tries)-1].Failed = true
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
