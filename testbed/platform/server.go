package platform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
	client "github.com/fireflychute/fireflychute/pkg/platform"
)

// Default rates of the platform, in calls per second.
const (
	DefaultReadRate  = 2000
	DefaultWriteRate = 300
)

// Server is the stand-in as an HTTP handler.
type Server struct {
	store *store
	gate  gate
	mux   *http.ServeMux

	vmMu      sync.Mutex
	vms       api.VMList
	vmChanged chan struct{}
}

// NewServer returns an empty platform with rates in calls per second.
func NewServer(readRate, writeRate float64) *Server {
	now := time.Now()
	s := &Server{store: newStore(), mux: http.NewServeMux(), vmChanged: make(chan struct{})}
	s.gate.reads = limiter{rate: readRate, tokens: readRate, last: now}
	s.gate.writes = limiter{rate: writeRate, tokens: writeRate, last: now}
	s.vms = api.VMList{VMs: []api.VM{}}
	s.mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.gated(false, s.get))
	s.mux.HandleFunc("GET /v1/objects/{kind}", s.gated(false, s.list))
	s.mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.gated(true, s.put))
	s.mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.gated(true, s.remove))
	s.mux.HandleFunc("GET /v1/watch", s.gated(false, s.watch))
	s.mux.HandleFunc("GET /v1/vms", s.gated(false, s.listVMs))
	s.mux.HandleFunc("PUT /admin/vms", s.setVMs)
	s.mux.HandleFunc("PUT /admin/faults", s.setFaults)
	s.mux.HandleFunc("GET /admin/counts", s.getCounts)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// SetFaults replaces the faults that the stand-in shows.
func (s *Server) SetFaults(faults Faults) {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	s.gate.faults = faults
}

// SetRates replaces the rates, in calls per second. Rates below 1 refuse every call.
func (s *Server) SetRates(readRate, writeRate float64) {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	s.gate.reads.rate = readRate
	s.gate.writes.rate = writeRate
}

// Counts returns how often the platform was called.
func (s *Server) Counts() Counts {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	return s.gate.counts
}

// ForgetHistory makes watches from earlier versions fail, as they do once the
// platform dropped the events after them.
func (s *Server) ForgetHistory() {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.forget(len(s.store.history))
}

// History returns the events since a version that are still kept.
func (s *Server) History(after uint64) []client.Event {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	first := sort.Search(len(s.store.history), func(i int) bool { return s.store.history[i].Object.Version > after })
	return slices.Clone(s.store.history[first:])
}

// SetVMs replaces the VM list after the lag that the faults declare.
func (s *Server) SetVMs(vms []api.VM) {
	s.gate.mu.Lock()
	lag := time.Duration(s.gate.faults.VMListLagMs) * time.Millisecond
	s.gate.mu.Unlock()
	if lag == 0 {
		s.publishVMs(vms)
		return
	}
	time.AfterFunc(lag, func() { s.publishVMs(vms) })
}

func (s *Server) publishVMs(vms []api.VM) {
	s.vmMu.Lock()
	defer s.vmMu.Unlock()
	s.vms = api.VMList{Version: s.vms.Version + 1, VMs: vms}
	close(s.vmChanged)
	s.vmChanged = make(chan struct{})
}

func (s *Server) gated(write bool, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		v := s.gate.admit(write, time.Now())
		if !sleep(r.Context(), v.delay) {
			return
		}
		switch {
		case v.down:
			http.Error(w, "platform is down", http.StatusServiceUnavailable)
		case v.limited:
			w.Header().Set("Retry-After", "1")
			http.Error(w, "too many calls", http.StatusTooManyRequests)
		case v.loseAnswer:
			next(discard{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		default:
			next(w, r)
		}
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	object, err := s.store.get(r.PathValue("kind"), r.PathValue("name"))
	answer(w, object, err)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	objects, version := s.store.list(r.PathValue("kind"))
	answer(w, map[string]any{"version": version, "objects": objects}, nil)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	ifVersion, ok := condition(r)
	if !ok {
		http.Error(w, "If-Match or If-None-Match: * is needed", http.StatusPreconditionRequired)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	object, err := s.store.put(r.PathValue("kind"), r.PathValue("name"), value, ifVersion)
	answer(w, object, err)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	ifVersion, ok := condition(r)
	if !ok {
		http.Error(w, "If-Match is needed", http.StatusPreconditionRequired)
		return
	}
	object, err := s.store.remove(r.PathValue("kind"), r.PathValue("name"), ifVersion)
	answer(w, object, err)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	s.countWatch()
	after, wait := waiting(r)
	deadline := time.After(wait)
	kind := r.URL.Query().Get("kind")
	for {
		if s.gate.watchesBroken() {
			panic(http.ErrAbortHandler)
		}
		events, version, changed, err := s.store.since(kind, after)
		if err != nil || len(events) > 0 {
			answer(w, map[string]any{"version": version, "events": events}, err)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			answer(w, map[string]any{"version": version, "events": events}, nil)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) listVMs(w http.ResponseWriter, r *http.Request) {
	s.countWatch()
	after, wait := waiting(r)
	deadline := time.After(wait)
	for {
		s.vmMu.Lock()
		vms, changed := s.vms, s.vmChanged
		s.vmMu.Unlock()
		if uint64(vms.Version) > after {
			answer(w, vms, nil)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			answer(w, vms, nil)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) countWatch() {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	s.gate.counts.Watches++
}

func (s *Server) setVMs(w http.ResponseWriter, r *http.Request) {
	var vms []api.VM
	if decode(w, r, &vms) {
		s.SetVMs(vms)
	}
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if decode(w, r, &faults) {
		s.SetFaults(faults)
	}
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) {
	answer(w, s.Counts(), nil)
}

// condition reads the version that a write demands; 0 demands a new object.
func condition(r *http.Request) (uint64, bool) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, true
	}
	version, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	return version, err == nil && version > 0
}

func waiting(r *http.Request) (uint64, time.Duration) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("timeout"))
	return after, wait
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(r.Body).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func answer(w http.ResponseWriter, value any, err error) {
	switch {
	case errors.Is(err, errNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, errConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, errTooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	case errors.Is(err, errExpired):
		http.Error(w, err.Error(), http.StatusGone)
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(value)
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d == 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// discard is a response writer for a call whose answer is lost.
type discard struct {
	header http.Header
}

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}
