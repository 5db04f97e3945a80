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

// defaultMaxBodyBytes limits request bodies of work kinds that declare no limit.
const defaultMaxBodyBytes = 64 << 20

// Deduplicator stores idempotency keys that were used.
type Deduplicator interface {
	// CreateIfAbsent stores name; created is false when it already existed. After an error it is
	// unknown whether name was stored.
	CreateIfAbsent(ctx context.Context, name string) (created bool, err error)
}

// Options configure a Handler. Published is required.
type Options struct {
	Published *atomic.Pointer[snapshot.Snapshot]
	Client    *transport.Client
	// Node is the name of this node, sent to callers in HeaderNode.
	Node         string
	Deduplicator Deduplicator
	// ParseReport parses the value of HeaderLoad; without it load reports are ignored.
	ParseReport func(value string) (targets.Report, bool)
	Telemetry   *telemetry.Telemetry
	Explain     *explain.Ring
	// Seed seeds the random choices to make them reproducible; 0 uses a random seed.
	Seed uint64
}

// Handler serves callers according to the published snapshot.
type Handler struct {
	options   Options
	gates     sync.Map // service name -> *gate
	draining  atomic.Bool
	inFlight  atomic.Int64
	rngPool   sync.Pool
	rngStream atomic.Uint64
	now       func() time.Time
}

// NewHandler returns a handler. Missing optional fields of options are set to defaults.
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

// Drain makes all further responses close their connection. Requests are still served.
func (h *Handler) Drain() { h.draining.Store(true) }

// InFlight returns the number of requests being served.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// QueueLengths returns the number of requests that wait for a unit, by service.
func (h *Handler) QueueLengths() map[string]int {
	lengths := map[string]int{}
	h.gates.Range(func(service, value any) bool {
		lengths[service.(string)] = int(value.(*gate).waiting.Load())
		return true
	})
	return lengths
}

// NotifyWaiters makes waiting requests try again to reserve a unit. It must be called after a new
// snapshot is published.
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
		// Without full duplex the server reads the rest of the body before it sends a response.
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
	// net/http silently drops a Content-Length sent together with chunked encoding. A load balancer
	// in front that uses the length would treat the bytes after it as its next request (request
	// smuggling), so the connection is closed.
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
