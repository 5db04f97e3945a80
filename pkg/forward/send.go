package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fireflychute/fireflychute/pkg/topology"
	"github.com/fireflychute/fireflychute/pkg/transport"
)

const (
	// keptBytes is how much of an answer is read before the caller gets any of it. An
	// answer that breaks off before can still be replaced.
	keptBytes = 128 << 10
	// tryObjectives is how many times the objective a send of an idempotent request
	// may take while there is time for another.
	tryObjectives = 1.6
	// minTryShare is the least part of the remaining time that such a send gets.
	minTryShare = 0.45
)

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// send sends the request to the chosen target. It returns true when the request
// has been answered.
func (c *call) send(chosen *choice) bool {
	target := chosen.target
	c.tried = append(c.tried, target)
	c.record.Tries = append(c.record.Tries, Try{
		Target: target.ID, Version: target.Version, Canary: chosen.canary, Order: c.service.Order,
		Cold: chosen.candidate.Cold, Asked: chosen.asked, Heard: chosen.answered, Cost: chosen.cost,
		Age: time.Since(chosen.at),
	})
	ctx, cancel := c.tryContext()
	defer cancel()
	target.Observed.Begin()
	sent := time.Now()
	answer, err := c.handler.options.Client.Do(c.outgoing(ctx, target), target.Connections)
	if err != nil {
		c.sendFailed(target, sent, err)
		return false
	}
	defer answer.Body.Close()
	return c.receive(target, sent, answer)
}

func (c *call) try() *Try { return &c.record.Tries[len(c.record.Tries)-1] }

// tryContext bounds one send. An idempotent request that takes long is given up in
// time for another target, since a target that hangs says nothing.
func (c *call) tryContext() (context.Context, context.CancelFunc) {
	last := c.sent+1 >= c.route.Attempts
	if !c.route.Idempotent || last || c.rest != nil {
		return c.ctx, func() {}
	}
	left := time.Until(c.deadline)
	longest := max(
		time.Duration(float64(c.route.Objective)*tryObjectives),
		time.Duration(float64(left)*minTryShare),
	)
	return context.WithTimeout(c.ctx, longest)
}

func (c *call) outgoing(ctx context.Context, target *topology.Target) *http.Request {
	url := *c.request.URL
	url.Scheme, url.Host = "http", target.Address
	out := &http.Request{
		Method: c.request.Method, URL: &url, Host: c.request.Host, Header: c.request.Header.Clone(),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	removeHopByHop(out.Header)
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

func removeHopByHop(header http.Header) {
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(header, name)
	}
}

// sendFailed follows a send without an answer.
func (c *call) sendFailed(target *topology.Target, sent time.Time, err error) {
	now := time.Now()
	try := c.try()
	try.Failure, try.Failed, try.Latency = err.Error(), true, now.Sub(sent)
	var failure *transport.Error
	try.NotRun = errors.As(err, &failure) && failure.NotRun
	if !try.NotRun {
		c.sent++
		c.unknown = true
	}
	switch {
	case c.ctx.Err() != nil:
		try.Failed = c.request.Context().Err() == nil
		target.Observed.Abandon()
	case try.NotRun:
		target.Observed.Missed(now)
		target.Observed.Abandon()
	default:
		target.Observed.End(now, true, 0)
	}
}

// receive decides what becomes of a target's answer.
func (c *call) receive(target *topology.Target, sent time.Time, answer *http.Response) bool {
	info := c.handler.options.Protocol.ReadAnswer(answer.StatusCode, answer.Header)
	try := c.try()
	try.Status = answer.StatusCode
	c.sent++
	if info.NotRun {
		try.NotRun, try.Failure = true, "target refused"
		if info.OtherTarget {
			target.Observed.Leave()
			c.sent--
		}
		target.Observed.Abandon()
		return false
	}
	c.unknown = true
	if !info.Genuine || info.RequestID != c.record.ID || info.PromisesNotRun && !c.route.Idempotent {
		return c.reject(target, sent, ReasonWrongAnswer)
	}
	failed := answer.StatusCode >= http.StatusInternalServerError
	if failed && c.route.Idempotent && c.sent < c.route.Attempts {
		return c.reject(target, sent, "target answered with status "+strconv.Itoa(answer.StatusCode))
	}
	kept, err := io.ReadAll(io.LimitReader(answer.Body, keptBytes+1))
	if err != nil {
		return c.reject(target, sent, ReasonBroken+": "+err.Error())
	}
	c.pass(target, sent, answer, kept)
	return true
}

// reject notes an answer that cannot be passed on.
func (c *call) reject(target *topology.Target, sent time.Time, failure string) bool {
	now := time.Now()
	try := c.try()
	try.Failed, try.Failure, try.Latency = true, failure, now.Sub(sent)
	if c.ctx.Err() != nil {
		target.Observed.Abandon()
		return false
	}
	target.Observed.End(now, true, 0)
	return false
}

// pass sends the answer to the caller. A long answer that breaks off ends as a
// broken transfer.
func (c *call) pass(target *topology.Target, sent time.Time, answer *http.Response, kept []byte) {
	try := c.try()
	copyHeader(c.w.Header(), answer.Header)
	whole := len(kept) <= keptBytes
	if whole && c.request.Method != http.MethodHead {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(kept)))
	}
	c.w.WriteHeader(answer.StatusCode)
	_, callerErr := c.w.Write(kept)
	written := int64(len(kept))
	var err error
	if !whole && callerErr == nil {
		var more int64
		more, err = io.Copy(c.w, answer.Body)
		written += more
	}
	now := time.Now()
	try.Latency = now.Sub(sent)
	c.record.Bytes, c.record.Status = written, answer.StatusCode
	if callerErr == nil && err == nil {
		try.Failed = answer.StatusCode >= http.StatusInternalServerError
		target.Observed.End(now, try.Failed, try.Latency)
		c.record.Outcome = OutcomeAnswered
		return
	}
	c.brokeOff(target, now, errors.Join(callerErr, err))
}

func (c *call) brokeOff(target *topology.Target, now time.Time, err error) {
	c.record.Outcome, c.record.Reason = OutcomeUnknown, err.Error()
	if c.ctx.Err() != nil {
		target.Observed.Abandon()
	} else {
		c.try().Failed = true
		target.Observed.End(now, true, 0)
	}
	panic(http.ErrAbortHandler)
}

func copyHeader(to, from http.Header) {
	removeHopByHop(from)
	for name, values := range from {
		to[name] = values
	}
}
