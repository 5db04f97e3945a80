package proxy

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflychute/fireflychute/pkg/admission"
	"github.com/fireflychute/fireflychute/pkg/explain"
	"github.com/fireflychute/fireflychute/pkg/retry"
	"github.com/fireflychute/fireflychute/pkg/snapshot"
	"github.com/fireflychute/fireflychute/pkg/target"
	"github.com/fireflychute/fireflychute/pkg/telemetry"
	"github.com/fireflychute/fireflychute/pkg/transport"
)

// Values of HeaderOutcome.
const (
	OutcomeNotRun  = string(retry.NotRun)
	OutcomeUnknown = string(retry.Unknown)
)

// defaultBodyBytes is the largest body of a kind of work that declares no limit.
const defaultBodyBytes = 64 << 20

// Deduplicator records that an idempotency key is used.
type Deduplicator interface {
	// CreateIfAbsent stores name. created is false when it was there before. With
	// an error it is not known whether it was stored.
	CreateIfAbsent(ctx context.Context, name string) (created bool, err error)
}

// Options are what a Handler works with. Published is required.
type Options struct {
	Published *atomic.Pointer[snapshot.Snapshot]
	Client    *transport.Client
	// Node is the name that answers carry.
	Node         string
	Deduplicator Deduplicator
	// ParseReport reads the value of HeaderLoad.
	ParseReport func(value string) (target.Report, bool)
	Telemetry   *telemetry.Telemetry
	Explain     *explain.Ring
	// Seed makes choices repeatable; 0 takes a random seed.
	Seed uint64
}

// Handler serves callers from the published snapshot.
type Handler struct {
	options  Options
	gates    sync.Map // service name -> *gate
	draining atomic.Bool
	inFlight atomic.Int64
	randoms  sync.Pool
	seeds    atomic.Uint64
	now      func() time.Time
}

// NewHandler returns a handler.
func NewHandler(options Options) *Handler {
	if options.Client == nil {
		options.Client = transport.NewClient()
	}
	if options.Explain == nil {
		options.Explain = &explain.Ring{}
	}
	if options.Seed == 0 {
		options.Seed = rand.Uint64()
	}
	h := &Handler{options: options, now: time.Now}
	h.randoms.New = func() any { return rand.New(rand.NewPCG(options.Seed, h.seeds.Add(1))) }
	return h
}

// Drain makes all further answers close their connection. Requests are still served.
func (h *Handler) Drain() { h.draining.Store(true) }

// InFlight returns the number of requests that are being served.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// Waiting returns how many requests wait for a unit, by service.
func (h *Handler) Waiting() map[string]int {
	waiting := map[string]int{}
	h.gates.Range(func(service, value any) bool {
		waiting[service.(string)] = int(value.(*gate).waiting.Load())
		return true
	})
	return waiting
}

// Recheck lets waiting requests look for units again. It is to be called after a
// new snapshot was published.
func (h *Handler) Recheck() {
	h.gates.Range(func(_, value any) bool {
		g := value.(*gate)
		g.wake(int(g.waiting.Load()))
		return true
	})
}

func (h *Handler) gate(service *snapshot.Service) *gate {
	known, ok := h.gates.Load(service.Name)
	if !ok {
		known, _ = h.gates.LoadOrStore(service.Name, newGate(service))
	}
	return known.(*gate)
}

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

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	random := h.randoms.Get().(*rand.Rand)
	defer h.randoms.Put(random)
	c := &call{handler: h, w: w, request: r, random: random, began: h.now(), relayed: isRelayed(r)}
	c.identify()
	w.Header().Set(HeaderNode, h.options.Node)
	w.Header().Set(HeaderRequestID, c.id)
	if r.ContentLength != 0 {
		// Without it the server reads the rest of the body before it sends an answer.
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
	// net/http drops a Content-Length beside chunks without a trace. A balancer in
	// front that goes by the length would take what follows for its next request.
	if h.draining.Load() || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	body := r.Body
	if c.match() {
		ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
		defer cancel()
		c.ctx = ctx
		c.serve()
	}
	if r.ContentLength != 0 {
		finishBody(w, body)
	}
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

// pickVersion draws a version; a call that was handed over comes with one.
func (c *call) pickVersion() *snapshot.Version {
	name := c.request.Header.Get(headerVersion)
	if !c.relayed || name == "" {
		return pickVersion(c.route.Service, c.random)
	}
	for i := range c.route.Service.Versions {
		version := &c.route.Service.Versions[i]
		if version.Name == name {
			return version
		}
	}
	return nil
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
	c.span = c.handler.options.Telemetry.Tracing().Request(c.request, c.route.Name)
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

// admit reserves a unit, waiting for one if needed.
func (c *call) admit() bool {
	if c.gate.waiting.Load() > 0 || !c.choose() {
		waiting := c.handler.now()
		refusal := c.gate.wait(c.ctx, c.admission(), c.choose)
		c.metrics.Time(telemetry.QueueDuration, c.handler.now().Sub(waiting))
		if refusal != nil && !c.overflow(refusal) {
			return c.giveUp(refusal.RetryAfter, string(refusal.Reason))
		}
	}
	if c.chosen.target == nil {
		return c.giveUp(time.Second, reasonNoTarget)
	}
	return true
}

// usable tells whether new calls may be served by a snapshot.
func usable(view *snapshot.Snapshot, now time.Time) bool {
	return view != nil && view.Revision > 0 && !view.Isolated && view.Validity.Valid(now)
}

// refresh moves the call to the newest snapshot, because a call that waited must
// not be sent by a configuration that is no longer in force. It fails when the
// call would now be treated in another way or must not be served.
func (c *call) refresh() bool {
	view := c.handler.options.Published.Load()
	if !usable(view, c.handler.now()) {
		return false
	}
	if view == c.view && c.version != nil {
		return shareOf(c.version) > 0
	}
	route := view.Match(c.request.Method, c.request.URL.Path)
	if route == nil || route.Service == nil || route.Service.Name != c.route.Service.Name || route.WorkName != c.route.WorkName {
		return false
	}
	c.view = view
	c.route = route
	c.version = c.pickVersion()
	return c.version != nil
}

func (c *call) admission() admission.Request {
	request := admission.Request{
		Kind: c.route.WorkName, Priority: c.route.Work.Priority, KindWeight: c.route.Work.Weight, Deadline: c.deadline,
	}
	if c.caller != nil {
		request.Caller, request.CallerWeight = c.caller.Name, c.caller.Weight
	}
	return request
}

// claim records the idempotency key, once, before the first sending.
func (c *call) claim() bool {
	key := c.request.Header.Get(headerKey)
	if c.claimed || c.relayed || key == "" || c.route.Work.Idempotent || !c.route.Work.Deduplicate {
		return true
	}
	if c.handler.options.Deduplicator == nil {
		c.gate.release(c.chosen.target)
		return c.refuse(http.StatusServiceUnavailable, time.Second, reasonNoRecord)
	}
	created, err := c.handler.options.Deduplicator.CreateIfAbsent(c.ctx, c.keyName(key))
	if err == nil && created {
		c.claimed = true
		return true
	}
	c.gate.release(c.chosen.target)
	if err != nil {
		return c.refuse(http.StatusServiceUnavailable, time.Second, reasonNotRecorded)
	}
	return c.fail(http.StatusConflict, 0, OutcomeUnknown, "idempotency key was used before")
}

// keyName is the digest of route, caller and key, each with its length.
func (c *call) keyName(key string) string {
	caller := ""
	if c.caller != nil {
		caller = c.caller.Name
	}
	digest := sha256.Sum256(fmt.Appendf(nil, "%q %q %q", c.route.Name, caller, key))
	return hex.EncodeToString(digest[:])
}

// giveUp ends a request for which there is no further target. It was not run
// only if no earlier try may have run it.
func (c *call) giveUp(after time.Duration, reason string) bool {
	if c.unknown > 0 {
		return c.fail(http.StatusBadGateway, after, OutcomeUnknown, reason)
	}
	return c.refuse(http.StatusServiceUnavailable, after, reason)
}

func (c *call) refuse(status int, after time.Duration, reason string) bool {
	if c.metrics == nil {
		c.metrics = c.handler.options.Telemetry.Route("")
	}
	c.metrics.Refused(refusalLabel(reason))
	return c.fail(status, after, OutcomeNotRun, reason)
}

// fail answers with an error of the node. It returns false for the callers' sake.
func (c *call) fail(status int, after time.Duration, outcome, reason string) bool {
	if after > 0 {
		c.w.Header().Set("Retry-After", strconv.Itoa(int((after+time.Second-1)/time.Second)))
	}
	header := c.w.Header()
	header.Set(HeaderOutcome, outcome)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("X-Content-Type-Options", "nosniff")
	// With a length the answer is complete when it is flushed, before the rest of
	// the request's body is read.
	header.Set("Content-Length", strconv.Itoa(len(reason)+1))
	c.w.WriteHeader(status)
	_, _ = fmt.Fprintln(c.w, reason)
	c.conclude(status, outcome, reason)
	return false
}

// conclude records the end of the request.
func (c *call) conclude(status int, outcome, reason string) {
	c.metrics.Answered(status, c.handler.now().Sub(c.began))
	c.span.End(status, reason)
	ring := c.handler.options.Explain
	eventful := outcome != "" || len(c.tries) > 1
	if !eventful && !ring.Sampled() {
		return
	}
	decision := explain.Decision{
		RequestID: c.id, Time: c.began, Tries: explained(c.tries), Refused: outcome == OutcomeNotRun,
		Status: status, Outcome: outcome, Reason: reason,
	}
	if c.route != nil {
		decision.Route = c.route.Name
	}
	if c.caller != nil {
		decision.Caller = c.caller.Name
	}
	ring.Add(decision)
}
