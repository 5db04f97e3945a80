package proxy

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"

	"github.com/fireflychute/fireflychute/pkg/snapshot"
)

// HeaderOutcome tells on a refusal whether the call was run.
const HeaderOutcome = "Fireflychute-Outcome"

// Values of HeaderOutcome.
const (
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
)

// Handler serves callers from the published snapshot.
type Handler struct {
	published *atomic.Pointer[snapshot.Snapshot]
	transport http.RoundTripper
}

// NewHandler returns a handler that sends calls through transport.
func NewHandler(published *atomic.Pointer[snapshot.Snapshot], transport http.RoundTripper) *Handler {
	return &Handler{published: published, transport: transport}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	view := h.published.Load()
	if view == nil || view.Isolated {
		refuse(w, "node has no configuration")
		return
	}
	route := view.Match(r.Method, r.URL.Path)
	if route == nil {
		http.NotFound(w, r)
		return
	}
	chosen := choose(route.Service)
	if chosen == nil {
		refuse(w, "no target")
		return
	}
	h.send(w, r, route, chosen)
}

func (h *Handler) send(w http.ResponseWriter, r *http.Request, route *snapshot.Route, chosen *snapshot.Target) {
	ctx, cancel := context.WithTimeout(r.Context(), route.Timeout())
	defer cancel()
	out := r.Clone(ctx)
	out.URL.Scheme = "http"
	out.URL.Host = chosen.Address
	out.RequestURI = ""
	chosen.Counters.InFlight.Add(1)
	defer chosen.Counters.InFlight.Add(-1)
	answer, err := h.transport.RoundTrip(out)
	if err != nil {
		w.Header().Set(HeaderOutcome, OutcomeUnknown)
		http.Error(w, "target did not answer", http.StatusBadGateway)
		return
	}
	defer answer.Body.Close()
	for name, values := range answer.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.StatusCode)
	_, err = io.Copy(w, answer.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

func choose(service *snapshot.Service) *snapshot.Target {
	if service == nil || len(service.Versions) == 0 || len(service.Versions[0].Targets) == 0 {
		return nil
	}
	targets := service.Versions[0].Targets
	return targets[rand.IntN(len(targets))]
}

func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(HeaderOutcome, OutcomeNotRun)
	w.Header().Set("Retry-After", "1")
	http.Error(w, reason, http.StatusServiceUnavailable)
}
