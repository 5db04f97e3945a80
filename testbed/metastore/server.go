package metastore

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Faults are what the stand-in does wrong.
type Faults struct {
	// Status answers each call with an error status; 0 does not.
	Status int
	// Silent calls get no answer until the caller leaves.
	Silent bool
	// Delay is the time before each answer.
	Delay time.Duration
	// LoseWrites carries writes out and cuts the connection without an answer.
	LoseWrites bool
	// Deaf watches hear of no change.
	Deaf bool
}

// Server serves a Store over HTTP.
type Server struct {
	Store *Store

	mu     sync.Mutex
	faults Faults
	calls  map[string]int
}

// NewServer returns a server of a store.
func NewServer(store *Store) *Server { return &Server{Store: store, calls: map[string]int{}} }

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Calls returns how often each method was called.
func (s *Server) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := map[string]int{}
	for method, count := range s.calls {
		calls[method] = count
	}
	return calls
}

func (s *Server) count(method string) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[method]++
	return s.faults
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	faults := s.count(r.Method)
	switch {
	case faults.Silent:
		<-r.Context().Done()
		return
	case faults.Status != 0:
		w.WriteHeader(faults.Status)
		return
	}
	time.Sleep(faults.Delay)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}", func(w http.ResponseWriter, r *http.Request) { s.list(w, r, faults) })
	mux.HandleFunc("POST /v1/objects/{kind}", s.create)
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.replace)
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}/status", s.replaceStatus)
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.remove)
	if faults.LoseWrites && r.Method != http.MethodGet {
		mux.ServeHTTP(discard{}, r)
		panic(http.ErrAbortHandler)
	}
	mux.ServeHTTP(w, r)
}

// discard takes an answer that nobody gets.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) WriteHeader(int)             {}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a caller that left needs no answer
}

func (s *Server) list(w http.ResponseWriter, r *http.Request, faults Faults) {
	kind := r.PathValue("kind")
	if !r.URL.Query().Has("watch") {
		objects, revision := s.Store.List(kind)
		answer(w, http.StatusOK, map[string]any{"items": objects, "more": false, "as-of": revision})
		return
	}
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	millis, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	wait := time.Duration(millis) * time.Millisecond
	if faults.Deaf {
		time.Sleep(wait)
		answer(w, http.StatusOK, map[string]any{"events": []Event{}, "as-of": from})
		return
	}
	events, revision, ok := s.Store.watch(kind, from, wait, r.Context().Done())
	if !ok {
		w.WriteHeader(http.StatusGone)
		return
	}
	if events == nil {
		events = []Event{}
	}
	answer(w, http.StatusOK, map[string]any{"events": events, "as-of": revision})
}

func read(w http.ResponseWriter, r *http.Request) (Object, bool) {
	var object Object
	text, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(text, &object)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
	}
	return object, err == nil
}

func (s *Server) create(w http.ResponseWriter, r *http.Request) {
	given, ok := read(w, r)
	if !ok {
		return
	}
	s.Store.mu.Lock()
	defer s.Store.mu.Unlock()
	kind := r.PathValue("kind")
	current, exists := s.Store.kinds[kind][given.Metadata.Name]
	if exists {
		answer(w, http.StatusConflict, current)
		return
	}
	given.Metadata.Rev, given.Metadata.CreatedRev = 0, 0
	answer(w, http.StatusCreated, s.Store.store(kind, given))
}

func (s *Server) replace(w http.ResponseWriter, r *http.Request) {
	s.change(w, r, func(current *Object, given Object) { current.Spec = given.Spec })
}

func (s *Server) replaceStatus(w http.ResponseWriter, r *http.Request) {
	s.change(w, r, func(current *Object, given Object) { current.Status = given.Status })
}

func (s *Server) change(w http.ResponseWriter, r *http.Request, apply func(current *Object, given Object)) {
	given, ok := read(w, r)
	if !ok {
		return
	}
	s.Store.mu.Lock()
	defer s.Store.mu.Unlock()
	kind := r.PathValue("kind")
	current, exists := s.Store.kinds[kind][r.PathValue("name")]
	switch {
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case given.Metadata.Rev != 0 && given.Metadata.Rev != current.Metadata.Rev:
		answer(w, http.StatusConflict, current)
	default:
		apply(&current, given)
		answer(w, http.StatusOK, s.Store.store(kind, current))
	}
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	s.Store.mu.Lock()
	defer s.Store.mu.Unlock()
	kind := r.PathValue("kind")
	current, exists := s.Store.kinds[kind][r.PathValue("name")]
	revision, _ := strconv.ParseUint(r.URL.Query().Get("rev"), 10, 64)
	switch {
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case revision != 0 && revision != current.Metadata.Rev:
		answer(w, http.StatusConflict, current)
	default:
		s.Store.remove(kind, current)
		w.WriteHeader(http.StatusOK)
	}
}
