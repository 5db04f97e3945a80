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
	handler *Handler
	w       http.ResponseWriter
	request *http.Request
	view    *snapshot.Snapshot
	route   *snapshot.Route
	version *snapshot.Version
	gate    *gate
	caller  *snapshot.CallerGroup
	metrics *telemetry.Route
	span    *telemetry.Span
	random  *rand.Rand
	began   time.Time
	id      string
	depth   int
	noRetry bool
	// relayed tells that another node handed the call over.
	relayed bool
	// overflowed tells that this node handed the call over for lack of room.
	overflowed bool

	ctx      context.Context
	deadline time.Time

	chosen  choice
	tried   []*snapshot.Target
	unknown int // tries with an unknown outcome
	claimed bool
	body    *tryBody
	tries   []try
}

func (c *call) identify() {
	c.id = c.request.Header.Get(HeaderRequestID)
	if c.id == "" || len(c.id) > maxIDBytes {
		c.id = fmt.Sprintf("%016x%016x", c.random.Uint64(), c.random.Uint64())
	}
}

// match resolves the route and checks what needs no target. It answers the
// request itself when it returns false.
func (c *call) match() bool {
	view := c.handler.options.Published.Load()
	if !usable(view, c.began) {
		return c.refuse(http.StatusServiceUnavailable, time.Second, reasonNoConfiguration)
	}
	c.view = view
	c.route = view.Match(c.request.Method, c.request.URL.Path)
	if c.route == nil || c.route.Service == nil {
		return c.refuse(http.StatusNotFound, 0, reasonNoRoute)
	}
	c.metrics = c.handler.options.Telemetry.Route(c.route.Name)
	c.caller = c.findCaller()
	var ok bool
	c.depth, ok = readDepth(c.request.Header)
	c.noRetry = c.request.Header.Get(HeaderNoRetry) != ""
	switch {
	case !ok:
		return c.refuse(http.StatusBadRequest, 0, reasonBadDepth)
	case c.depth > maxDepth:
		return c.refuse(http.StatusServiceUnavailable, 0, reasonTooDeep)
	case isUpgrade(c.request):
		return c.refuse(http.StatusNotImplemented, 0, reasonUpgrade)
	case c.request.ContentLength > c.maxBody():
		return c.refuse(http.StatusRequestEntityTooLarge, 0, reasonTooLarge)
	}
	c.deadline = c.began.Add(readTimeout(c.request.Header, c.route.Timeout()))
	c.gate = c.handler.gate(c.route.Service)
	return true
}

func (c *call) maxBody() int64 {
	if c.route.Work.MaxBodyBytes > 0 {
		return int64(c.route.Work.MaxBodyBytes)
	}
	return defaultBodyBytes
}

// findCaller returns the group of the caller. The listener for other nodes is the
// only one on which the name of the group is taken from the call.
func (c *call) findCaller() *snapshot.CallerGroup {
	if c.relayed {
		return c.view.CallerNamed(c.request.Header.Get(headerCaller))
	}
	return c.view.Caller(sourceOf(c.request))
}

func sourceOf(r *http.Request) netip.Addr {
	source, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return source.Addr().Unmap()
}

// serve tries targets until there is an answer or no further try is allowed.
func (c *call) serve() {
	c.span = c.handler.options.Telemetry.Tracing().StartRequest(c.request, c.route.Name)
	if c.request.Body != nil && c.request.Body != http.NoBody {
		c.request.Body = http.MaxBytesReader(c.w, c.request.Body, c.maxBody())
	}
	for {
		if !c.admit() || !c.claim() {
			return
		}
		if c.try() {
			return
		}
	}
}
