package proxy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/fireflychute/fireflychute/pkg/snapshot"
	"github.com/fireflychute/fireflychute/pkg/telemetry"
)

// call is one request of a caller.
type call struct {
	handler  *Handler
	w        http.ResponseWriter
	request  *http.Request
	snapshot *snapshot.Snapshot
	route    *snapshot.Route
	version  *snapshot.Version
	gate     *gate
	caller   *snapshot.CallerGroup
	metrics  *telemetry.Route
	span     *telemetry.Span
	rng      *rand.Rand
	start    time.Time
	id       string
	depth    int
	noRetry  bool
	// relayed is set if the call was relayed by another node.
	relayed bool
	// overflowAttempted is set once this node looked for another node to relay the call to, for lack
	// of free units.
	overflowAttempted bool

	ctx      context.Context
	deadline time.Time

	chosen          choice
	attempted       []*snapshot.Target
	unknownAttempts int // attempts with an unknown outcome
	keyClaimed      bool
	body            *attemptBody
	attempts        []attempt
}

// identify sets the request id to the caller's, or to a random one if that is missing or too long.
func (c *call) identify() {
	c.id = c.request.Header.Get(HeaderRequestID)
	if c.id == "" || len(c.id) > maxIDBytes {
		c.id = fmt.Sprintf("%016x%016x", c.rng.Uint64(), c.rng.Uint64())
	}
}

// match resolves the route and makes all checks that need no target. When it returns false, an
// error response has been sent.
func (c *call) match() bool {
	current := c.handler.options.Published.Load()
	if !isUsable(current, c.start) {
		return c.reject(http.StatusServiceUnavailable, time.Second, reasonNoConfiguration)
	}
	c.snapshot = current
	c.route = current.Match(c.request.Method, c.request.URL.Path)
	if c.route == nil || c.route.Service == nil {
		return c.reject(http.StatusNotFound, 0, reasonNoRoute)
	}
	c.metrics = c.handler.options.Telemetry.Route(c.route.Name)
	c.caller = c.findCaller()
	var ok bool
	c.depth, ok = parseDepth(c.request.Header)
	c.noRetry = c.request.Header.Get(HeaderNoRetry) != ""
	switch {
	case !ok:
		return c.reject(http.StatusBadRequest, 0, reasonBadDepth)
	case c.depth > maxDepth:
		return c.reject(http.StatusServiceUnavailable, 0, reasonTooDeep)
	case isUpgrade(c.request):
		return c.reject(http.StatusNotImplemented, 0, reasonUpgrade)
	case c.request.ContentLength > c.maxBody():
		return c.reject(http.StatusRequestEntityTooLarge, 0, reasonTooLarge)
	}
	c.deadline = c.start.Add(parseTimeout(c.request.Header, c.route.Timeout()))
	c.gate = c.handler.gate(c.route.Service)
	return true
}

func (c *call) maxBody() int64 {
	if c.route.WorkKind.MaxBodyBytes > 0 {
		return int64(c.route.WorkKind.MaxBodyBytes)
	}
	return defaultMaxBodyBytes
}

// findCaller returns the group of the caller. Only on the listener for other nodes is the name of
// the group taken from a header.
func (c *call) findCaller() *snapshot.CallerGroup {
	if c.relayed {
		return c.snapshot.CallerByName(c.request.Header.Get(headerCaller))
	}
	return c.snapshot.CallerByAddress(sourceOf(c.request))
}

func sourceOf(r *http.Request) netip.Addr {
	source, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return source.Addr().Unmap()
}

// serve sends attempts to targets until one returns a response or no further one is allowed.
func (c *call) serve() {
	c.span = c.handler.options.Telemetry.Tracing().StartRequest(c.request, c.route.Name)
	if c.request.Body != nil && c.request.Body != http.NoBody {
		c.request.Body = http.MaxBytesReader(c.w, c.request.Body, c.maxBody())
	}
	for {
		if !c.admit() || !c.claimIdempotencyKey() {
			return
		}
		if c.sendAttempt() {
			return
		}
	}
}
