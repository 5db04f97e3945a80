package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fireflychute/fireflychute/pkg/experiment"
	"github.com/fireflychute/fireflychute/pkg/retry"
	"github.com/fireflychute/fireflychute/pkg/topology"
)

// maxBufferedBody is the size from which a request body is not buffered as a whole, so that the
// request cannot be retried.
const maxBufferedBody = 1 << 20

// call is the state of one request of a caller.
type call struct {
	handler      *Handler
	w            http.ResponseWriter
	request      *http.Request
	topology     *topology.Topology
	route        *topology.Route
	service      *topology.Service
	serviceState *serviceState
	routeState   *routeState
	// age is the estimated time since the caller's first attempt; this request may be a retry.
	age      time.Duration
	began    time.Time
	deadline time.Time
	ctx      context.Context

	// body is the buffered part of the caller's body; remainingBody is what follows it if the
	// body is too large to be buffered.
	body          []byte
	remainingBody io.Reader

	attempted []*topology.Target
	// unreached counts the targets in attempted that did not receive the request.
	unreached int
	// backOff is the time until the first target accepts requests again if all remaining
	// targets asked this node to back off.
	backOff time.Duration
	// mayHaveRun is set if an earlier attempt may have run the request.
	mayHaveRun bool
	record     Record
}

// readBody reads the caller's body before a target is selected, so that a slow caller does not
// occupy a target. It returns false if the request was rejected.
func (c *call) readBody() bool {
	if c.request.ContentLength == 0 {
		return true
	}
	limit := c.topology.Configuration.Limits.MaxBodyBytes
	reader := io.Reader(c.request.Body)
	if limit > 0 {
		reader = http.MaxBytesReader(c.w, c.request.Body, limit)
	}
	if limit > 0 && c.request.ContentLength > limit {
		return c.reject(http.StatusRequestEntityTooLarge, ReasonTooLarge)
	}
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(c.deadline) // fails only if the connection does not support deadlines
	body, err := io.ReadAll(io.LimitReader(reader, maxBufferedBody))
	_ = control.SetReadDeadline(time.Time{})
	c.body = body
	if err != nil {
		return c.rejectBody(err)
	}
	if len(body) == maxBufferedBody {
		c.remainingBody = reader
	}
	return true
}

func (c *call) rejectBody(err error) bool {
	var tooLarge *http.MaxBytesError
	c.w.Header().Set("Connection", "close")
	switch {
	case errors.As(err, &tooLarge):
		return c.reject(http.StatusRequestEntityTooLarge, ReasonTooLarge)
	case !time.Now().Before(c.deadline):
		return c.reject(http.StatusRequestTimeout, ReasonBodyTimeout)
	default:
		return c.reject(http.StatusBadRequest, ReasonBodyBroken)
	}
}

// serve sends the request to targets until there is a response or no further attempt is allowed.
func (c *call) serve() {
	c.service = withRandom(c.handler, c.route.ChooseService)
	c.record.Service = c.service.Name
	c.serviceState = c.handler.serviceState(c.service.Name)
	c.serviceState.retryBudget.RecordRequest(c.began)
	for {
		selected, reason := c.selectOrWait()
		if selected == nil {
			c.giveUp(reason)
			return
		}
		r := c.attemptHedged(selected)
		if r != nil {
			c.forwardResponse(r)
			return
		}
		reason = c.retryDenied(c.serviceState.retryBudget.Acquire)
		if reason != "" {
			c.giveUp(reason)
			return
		}
	}
}

// retryDenied returns why the request may not be retried, or "" if it may. The last attempt
// decides: a retry after one that did not reach a target uses no retry budget.
func (c *call) retryDenied(acquire func(now time.Time, ratio, extra float64) bool) string {
	last := &c.record.Attempts[len(c.record.Attempts)-1]
	options := &c.handler.options
	switch {
	case c.request.Context().Err() != nil:
		return ReasonCallerLeft
	case c.ctx.Err() != nil:
		return ReasonTimeout
	case !last.NotRun && !c.route.Idempotent:
		return last.Failure
	case c.remainingBody != nil:
		return last.Failure
	case len(c.attempted)-c.unreached >= c.route.Attempts:
		return ReasonAttempts
	case last.NotRun && last.Status == 0:
		return ""
	case !acquire(time.Now(), options.RetryRatio, options.RetryExtra/float64(c.topology.FleetSize)):
		return ReasonBudget
	default:
		return ""
	}
}

// giveUp responds to a request that has no further attempt. It is reported as not run only if
// no earlier attempt may have run it.
func (c *call) giveUp(reason string) {
	switch {
	case c.request.Context().Err() != nil:
		c.record.Outcome, c.record.Reason = retry.Unknown, ReasonCallerLeft
		panic(http.ErrAbortHandler)
	case !c.mayHaveRun:
		c.reject(http.StatusServiceUnavailable, reason)
	case c.ctx.Err() != nil:
		c.respond(http.StatusGatewayTimeout, retry.Unknown, ReasonTimeout)
	default:
		c.respond(http.StatusBadGateway, retry.Unknown, reason)
	}
}

// reject responds to a request that has not run. It always returns false, so that functions that
// report whether to continue can return its result.
func (c *call) reject(status int, reason string) bool {
	if status == http.StatusServiceUnavailable {
		delay := c.retryAfter(reason)
		c.w.Header().Set("Retry-After", strconv.FormatFloat(delay.Seconds(), 'f', 2, 64))
	}
	return c.respond(status, retry.NotRun, reason)
}

// fixedRetryAfter is the retry delay if experiment.RetryAfter is disabled.
const fixedRetryAfter = 200 * time.Millisecond

// retryAfter returns the delay after which a rejected caller should retry. It also counts the
// rejection towards overload, unless it is due to the limit of attempts or the retry budget, or
// experiment.RetryAfter is disabled.
func (c *call) retryAfter(reason string) time.Duration {
	state := c.handler.serviceState(c.record.Service)
	if c.handler.isDisabled(experiment.RetryAfter) {
		return fixedRetryAfter
	}
	fraction := withRandom(c.handler, randomFraction)
	if reason == ReasonAttempts || reason == ReasonBudget {
		return state.overload.RetryAfterTargetRejection(fraction)
	}
	state.overload.RecordRequest(true)
	delay := state.overload.RetryAfter(fraction)
	if reason == ReasonBackingOff || reason == ReasonLimited {
		delay += c.backOff
	}
	return delay
}

// respond sends a response that the node itself generates. It always returns false.
func (c *call) respond(status int, outcome retry.Outcome, reason string) bool {
	c.record.Status, c.record.Outcome, c.record.Reason = status, outcome, reason
	header := c.w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(reason)+1))
	c.w.WriteHeader(status)
	_, _ = io.WriteString(c.w, reason+"\n") // a disconnected caller is detected at its connection
	return false
}

// outgoingBody returns the body for one attempt and its length.
func (c *call) outgoingBody() (io.Reader, int64) {
	switch {
	case c.remainingBody != nil:
		return io.MultiReader(bytes.NewReader(c.body), c.remainingBody), c.request.ContentLength
	case len(c.body) == 0:
		return nil, 0
	default:
		return bytes.NewReader(c.body), int64(len(c.body))
	}
}
