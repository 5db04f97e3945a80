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
	"github.com/fireflychute/fireflychute/pkg/retry"
	"github.com/fireflychute/fireflychute/pkg/topology"
	"github.com/fireflychute/fireflychute/pkg/transport"
)

// Options are what a Handler works with; all are required.
type Options struct {
	// Published is the topology in force; nil until the first is known.
	Published *atomic.Pointer[topology.Topology]
	Client    *transport.Client
	Protocol  Protocol
	Observer  Observer
	// RetryRatio, RetryExtra and RetryWindow are the fleet's retry budget per service.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
	Random      rand.Source
	// Disabled are the mechanisms that an experiment switches off.
	Disabled experiment.Disabled
}

// Handler serves callers.
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

// NewHandler returns a handler.
func NewHandler(options Options) *Handler {
	return &Handler{options: options, random: rand.New(options.Random)}
}

// InFlight returns the number of requests that are being served.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// Stop makes all further answers close their connection.
func (h *Handler) Stop() { h.stopping.Store(true) }

// RejectNew makes all further requests be refused as not run.
func (h *Handler) RejectNew() { h.rejecting.Store(true) }

// isDisabled tells whether an experiment switches a mechanism off.
func (h *Handler) isDisabled(mechanism experiment.Mechanism) bool {
	return h.options.Disabled[mechanism]
}

// withRandom runs a function with the handler's random source.
func withRandom[T any](h *Handler, sample func(*rand.Rand) T) T {
	h.randomMu.Lock()
	defer h.randomMu.Unlock()
	return sample(h.random)
}

// serviceState is what the node keeps of a service from request to request.
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

// resolveRoute resolves the route. It answers the request itself when it returns false.
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

// hostOf returns the host of a request without the port.
func hostOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		return r.Host
	}
	return host
}
