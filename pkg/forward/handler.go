package forward

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflychute/fireflychute/pkg/callerconn"
	"github.com/fireflychute/fireflychute/pkg/experiment"
	"github.com/fireflychute/fireflychute/pkg/placement"
	"github.com/fireflychute/fireflychute/pkg/quota"
	"github.com/fireflychute/fireflychute/pkg/retry"
	"github.com/fireflychute/fireflychute/pkg/topology"
	"github.com/fireflychute/fireflychute/pkg/transport"
)

// Options configure a Handler. All are required but Disabled.
type Options struct {
	// Published is the topology in use, nil until the first one is published.
	Published *atomic.Pointer[topology.Topology]
	Client    *transport.Client
	Protocol  Protocol
	Observer  Observer
	// Limits holds the limits that targets have named.
	Limits *quota.Table
	// Units decides which requests may be sent to targets with a limit.
	Units *quota.Allocator
	// RetryRatio, RetryExtra and RetryWindow are the fleet's retry budget per service.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
	Random      rand.Source
	// Disabled are the mechanisms that an experiment turns off.
	Disabled experiment.Disabled
}

// Handler serves the requests of callers.
type Handler struct {
	options   Options
	randomMu  sync.Mutex
	random    *rand.Rand
	services  sync.Map // service name -> *serviceState
	routes    sync.Map // route name -> *routeState
	inFlight  atomic.Int64
	stopping  atomic.Bool
	rejecting atomic.Bool
}

// NewHandler returns a handler with these options.
func NewHandler(options Options) *Handler {
	return &Handler{options: options, random: rand.New(options.Random)}
}

// InFlight returns the number of requests that are being served.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// Stop makes all further responses close their connection.
func (h *Handler) Stop() { h.stopping.Store(true) }

// RejectNew makes the handler reject all further requests as not run.
func (h *Handler) RejectNew() { h.rejecting.Store(true) }

// isDisabled reports whether an experiment turns a mechanism off.
func (h *Handler) isDisabled(mechanism experiment.Mechanism) bool {
	return h.options.Disabled[mechanism]
}

// withRandom calls sample with the handler's random source, which is not safe for concurrent use.
func withRandom[T any](h *Handler, sample func(*rand.Rand) T) T {
	h.randomMu.Lock()
	defer h.randomMu.Unlock()
	return sample(h.random)
}

// serviceState is the state of a service that all its requests at this node share.
type serviceState struct {
	retryBudget *retry.Window
	overload    *placement.OverloadDetector
	waitlist    placement.Waitlist
}

func (h *Handler) serviceState(name string) *serviceState {
	cached, ok := h.services.Load(name)
	if !ok {
		cached, _ = h.services.LoadOrStore(name, &serviceState{
			retryBudget: retry.NewWindow(h.options.RetryWindow, time.Now()), overload: &placement.OverloadDetector{},
		})
	}
	return cached.(*serviceState)
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	c := &call{handler: h, w: w, request: r, began: time.Now()}
	defer func() { h.options.Observer.Ended(&c.record) }()
	if h.stopping.Load() || callerconn.MustClose(r) {
		w.Header().Set("Connection", "close")
	}
	if !c.resolveRoute() || !c.readBody() {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	c.ctx = ctx
	c.serve()
}

// resolveRoute finds the route of the request. It returns false if the request was rejected.
func (c *call) resolveRoute() bool {
	h, r := c.handler, c.request
	info := h.options.Protocol.ReadRequest(r.Header)
	c.record = Record{ID: info.ID, Began: c.began}
	c.topology = h.options.Published.Load()
	switch {
	case h.rejecting.Load():
		c.w.Header().Set("Connection", "close")
		return c.reject(http.StatusServiceUnavailable, ReasonStopping)
	case c.topology == nil:
		return c.reject(http.StatusServiceUnavailable, ReasonNoConfiguration)
	case info.ID == "":
		return c.reject(http.StatusBadRequest, ReasonNoID)
	}
	c.record.Version = c.topology.Configuration.Version
	c.route = c.topology.Match(hostOf(r), r.URL.Path)
	if c.route == nil {
		return c.reject(http.StatusNotFound, ReasonNoRoute)
	}
	c.record.Route = c.route.Name
	c.routeState = h.routeState(c.route.Name)
	c.age = c.routeState.timeouts.EstimateAge(info.Timeout)
	c.deadline = c.began.Add(c.route.Timeout)
	if info.Timeout > 0 && info.Timeout < c.route.Timeout {
		c.deadline = c.began.Add(info.Timeout)
	}
	return true
}

// hostOf returns the host that a request names, without the port.
func hostOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		return r.Host
	}
	return host
}
