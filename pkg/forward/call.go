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

// repeatableBytes is the largest body that is kept to be sent once more.
const repeatableBytes = 1 << 20

// call is one request of a caller.
type call struct {
	handler  *Handler
	w        http.ResponseWriter
	request  *http.Request
	topology *topology.Topology
	route    *topology.Route
	service  *topology.Service
	state    *serviceState
	learned  *routeState
	// age is the time since the caller's first attempt, of which this may be a later one.
	age      time.Duration
	began    time.Time
	deadline time.Time
	ctx      context.Context

	// body is what was read of the caller's body; rest is what follows it when the
	// body is too large to be kept.
	body []byte
	rest io.Reader

	tried []*topology.Target
	// unreached counts the targets in tried that did not get the request.
	unreached int
	// backOff is the time after which a target takes requests again when all that are left
	// want none yet.
	backOff time.Duration
	// unknown tells that an earlier send may have run.
	unknown bool
	record  Record
}

// readBody reads the caller's body before a target is chosen, so that a slow
// caller holds no target.
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
		return c.refuse(http.StatusRequestEntityTooLarge, ReasonTooLarge)
	}
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(c.deadline) // fails only where the connection cannot have one
	body, err := io.ReadAll(io.LimitReader(reader, repeatableBytes))
	_ = control.SetReadDeadline(time.Time{})
	c.body = body
	if err != nil {
		return c.bodyFailed(err)
	}
	if len(body) == repeatableBytes {
		c.rest = reader
	}
	return true
}

func (c *call) bodyFailed(err error) bool {
	var tooLarge *http.MaxBytesError
	c.w.Header().Set("Connection", "close")
	switch {
	case errors.As(err, &tooLarge):
		return c.refuse(http.StatusRequestEntityTooLarge, ReasonTooLarge)
	case !time.Now().Before(c.deadline):
		return c.refuse(http.StatusRequestTimeout, ReasonBodyTimeout)
	default:
		return c.refuse(http.StatusBadRequest, ReasonBodyBroken)
	}
}

// serve sends the request to targets until there is an answer or no further send
// is allowed.
func (c *call) serve() {
	c.service = withRandom(c.handler, c.route.ChooseService)
	c.record.Service = c.service.Name
	c.state = c.handler.service(c.service.Name)
	c.state.window.RecordRequest(c.began)
	for {
		chosen, reason := c.placeOrWait()
		if chosen == nil {
			c.giveUp(reason)
			return
		}
		r := c.run(chosen)
		if r != nil {
			c.pass(r)
			return
		}
		reason = c.mayRepeat(c.state.window.Acquire)
		if reason != "" {
			c.giveUp(reason)
			return
		}
	}
}

// mayRepeat returns why the request may not be sent once more, or nothing. The
// last try decides: one that did not reach a target costs no budget.
func (c *call) mayRepeat(take func(now time.Time, ratio, extra float64) bool) string {
	last := &c.record.Tries[len(c.record.Tries)-1]
	options := &c.handler.options
	switch {
	case c.request.Context().Err() != nil:
		return ReasonCallerLeft
	case c.ctx.Err() != nil:
		return ReasonTimeout
	case !last.NotRun && !c.route.Idempotent:
		return last.Failure
	case c.rest != nil:
		return last.Failure
	case len(c.tried)-c.unreached >= c.route.Attempts:
		return ReasonAttempts
	case last.NotRun && last.Status == 0:
		return ""
	case !take(time.Now(), options.RetryRatio, options.RetryExtra/float64(c.topology.FleetSize)):
		return ReasonBudget
	default:
		return ""
	}
}

// giveUp answers a request for which there is no further send. It was not run only
// if no earlier send may have run it.
func (c *call) giveUp(reason string) {
	switch {
	case c.request.Context().Err() != nil:
		c.record.Outcome, c.record.Reason = retry.Unknown, ReasonCallerLeft
		panic(http.ErrAbortHandler)
	case !c.unknown:
		c.refuse(http.StatusServiceUnavailable, reason)
	case c.ctx.Err() != nil:
		c.answer(http.StatusGatewayTimeout, retry.Unknown, ReasonTimeout)
	default:
		c.answer(http.StatusBadGateway, retry.Unknown, reason)
	}
}

// refuse answers a request that has not run. It returns false for its callers' sake.
func (c *call) refuse(status int, reason string) bool {
	if status == http.StatusServiceUnavailable {
		after := c.returnTime(reason)
		c.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	return c.answer(status, retry.NotRun, reason)
}

// fixedReturn is the return time of an experiment without return times.
const fixedReturn = 200 * time.Millisecond

// returnTime is when a caller that is refused should come back.
func (c *call) returnTime(reason string) time.Duration {
	state := c.handler.service(c.record.Service)
	if c.handler.without(experiment.ReturnTimes) {
		return fixedReturn
	}
	draw := withRandom(c.handler, randomFraction)
	if reason == ReasonAttempts || reason == ReasonBudget {
		return state.pressure.ReturnFromTargets(draw)
	}
	state.pressure.Note(true)
	after := state.pressure.Return(draw)
	if reason == ReasonBackingOff {
		after += c.backOff
	}
	return after
}

// answer sends an answer of the node's own.
func (c *call) answer(status int, outcome retry.Outcome, reason string) bool {
	c.record.Status, c.record.Outcome, c.record.Reason = status, outcome, reason
	header := c.w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(reason)+1))
	c.w.WriteHeader(status)
	_, _ = io.WriteString(c.w, reason+"\n") // a caller that left is seen at its connection
	return false
}

// outgoingBody returns the body for one send.
func (c *call) outgoingBody() (io.Reader, int64) {
	switch {
	case c.rest != nil:
		return io.MultiReader(bytes.NewReader(c.body), c.rest), c.request.ContentLength
	case len(c.body) == 0:
		return nil, 0
	default:
		return bytes.NewReader(c.body), int64(len(c.body))
	}
}
