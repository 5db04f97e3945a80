package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflychute/fireflychute/pkg/callerconn"
	"github.com/fireflychute/fireflychute/pkg/explain"
	"github.com/fireflychute/fireflychute/pkg/retry"
	"github.com/fireflychute/fireflychute/pkg/snapshot"
	"github.com/fireflychute/fireflychute/pkg/targets"
	"github.com/fireflychute/fireflychute/pkg/telemetry"
	"github.com/fireflychute/fireflychute/pkg/transport"
)

// Values of HeaderOutcome.
const (
	OutcomeNotRun  = string(retry.NotRun)
	OutcomeUnknown = string(retry.Unknown)
)

// defaultMaxBodyBytes is the largest body of a kind of work that declares no limit.
const defaultMaxBodyBytes = 64 << 20

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
	ParseReport func(value string) (targets.Report, bool)
	Telemetry   *telemetry.Telemetry
	Explain     *explain.Ring
	// Seed makes choices repeatable; 0 takes a random seed.
	Seed uint64
}

// Handler serves callers from the published snapshot.
type Handler struct {
	options   Options
	gates     sync.Map // service name -> *gate
	draining  atomic.Bool
	inFlight  atomic.Int64
	rngPool   sync.Pool
	rngStream atomic.Uint64
	now       func() time.Time
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
	h.rngPool.New = func() any { return rand.New(rand.NewPCG(options.Seed, h.rngStream.Add(1))) }
	return h
}

// Drain makes all further answers close their connection. Requests are still served.
func (h *Handler) Drain() { h.draining.Store(true) }

// InFlight returns the number of requests that are being served.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// QueueLengths returns how many requests wait for a unit, by service.
func (h *Handler) QueueLengths() map[string]int {
	lengths := map[string]int{}
	h.gates.Range(func(service, value any) bool {
		lengths[service.(string)] = int(value.(*gate).waiting.Load())
		return true
	})
	return lengths
}

// NotifyWaiters lets waiting requests look for units again. It is to be called after a
// new snapshot was published.
func (h *Handler) NotifyWaiters() {
	h.gates.Range(func(_, value any) bool {
		g := value.(*gate)
		g.notify(int(g.waiting.Load()))
		return true
	})
}

func (h *Handler) gate(service *snapshot.Service) *gate {
	value, ok := h.gates.Load(service.Name)
	if !ok {
		value, _ = h.gates.LoadOrStore(service.Name, newGate(service))
	}
	return value.(*gate)
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	rng := h.rngPool.Get().(*rand.Rand)
	defer h.rngPool.Put(rng)
	c := &call{handler: h, w: w, request: r, rng: rng, start: h.now(), relayed: isRelayed(r)}
	c.identify()
	w.Header().Set(HeaderNode, h.options.Node)
	w.Header().Set(HeaderRequestID, c.id)
	if r.ContentLength != 0 {
		// Without it the server reads the rest of the body before it sends an answer.
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
	// net/http drops a Content-Length beside chunks without a trace. A balancer in
	// front that goes by the length would take what follows for its next request.
	if h.draining.Load() || callerconn.MustClose(r) {
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
		flushAndCloseBody(w, body)
	}
}
