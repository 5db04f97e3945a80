package metastore

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fireflychute/fireflychute/internal/wait"
	"github.com/fireflychute/fireflychute/pkg/api"
)

// Default rate limits of the platform, in calls per second.
const (
	DefaultReadRate  = 2000
	DefaultWriteRate = 300
	// Unlimited is a rate limit that no caller reaches.
	Unlimited = 1e9
)

const (
	// maxValueBytes is the largest object that the store accepts, in bytes.
	maxValueBytes = 1 << 20
	// rateLimitRetryAfter is the Retry-After of a rate-limited call, in seconds.
	rateLimitRetryAfter = "1"
	// The platform stores its list of VMs in one object.
	vmKind     = "vms"
	vmListName = "list"
)

// Server serves a Store over HTTP.
type Server struct {
	Store     *Store
	admission admission
	mux       *http.ServeMux
}

// NewServer returns a server of a store without rate limits.
func NewServer(store *Store) *Server {
	return NewLimitedServer(store, Unlimited, Unlimited)
}

// NewLimitedServer returns a server of a store with rate limits in calls per second.
func NewLimitedServer(store *Store, readRate, writeRate float64) *Server {
	now := time.Now()
	s := &Server{Store: store, mux: http.NewServeMux()}
	s.admission.reads = tokenBucket{rate: readRate, tokens: readRate, refilled: now}
	s.admission.writes = tokenBucket{rate: writeRate, tokens: writeRate, refilled: now}
	s.mux.HandleFunc("GET /v1/objects/{kind}", s.withAdmission(s.list))
	s.mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.withAdmission(s.get))
	s.mux.HandleFunc("POST /v1/objects/{kind}", s.withAdmission(s.create))
	s.mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.withAdmission(s.replace))
	s.mux.HandleFunc("PUT /v1/objects/{kind}/{name}/status", s.withAdmission(s.replaceStatus))
	s.mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.withAdmission(s.remove))
	s.mux.HandleFunc("PUT /admin/vms", s.putVMs)
	s.mux.HandleFunc("PUT /admin/faults", s.putFaults)
	s.mux.HandleFunc("GET /admin/counts", s.getCounts)
	return s
}

// eraHeader is in all responses: the number of times that the store was restored.
const eraHeader = "Store-Era"

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	setEra(w, s.Store.Era())
	s.mux.ServeHTTP(w, r)
}

// setEra sets the era of a response, which is that of the state that it tells.
func setEra(w http.ResponseWriter, era uint64) {
	w.Header().Set(eraHeader, strconv.FormatUint(era, 10))
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(faults Faults) {
	s.admission.mu.Lock()
	defer s.admission.mu.Unlock()
	s.admission.faults = faults
}

// SetRates replaces the rate limits, in calls per second. A limit below 1 rejects every call.
func (s *Server) SetRates(readRate, writeRate float64) {
	s.admission.mu.Lock()
	defer s.admission.mu.Unlock()
	s.admission.reads.rate = readRate
	s.admission.writes.rate = writeRate
}

// Counts returns the numbers of calls since the start of the server.
func (s *Server) Counts() Counts {
	s.admission.mu.Lock()
	defer s.admission.mu.Unlock()
	return s.admission.counts
}

// SetVMs replaces the VM list, delayed by Faults.VMListLagMs.
func (s *Server) SetVMs(vms []api.VM) {
	s.admission.mu.Lock()
	lag := time.Duration(s.admission.faults.VMListLagMs) * time.Millisecond
	s.admission.mu.Unlock()
	publish := func() { s.Store.Put(vmKind, vmListName, map[string]any{"vms": vms}) }
	if lag == 0 {
		publish()
		return
	}
	time.AfterFunc(lag, publish)
}

func callKindOf(r *http.Request) callKind {
	switch {
	case r.Method != http.MethodGet:
		return callWrite
	case r.URL.Query().Get("allow-stale") == "1":
		return callStaleRead
	default:
		return callRead
	}
}

// withAdmission applies the faults and rate limits to a handler's calls.
func (s *Server) withAdmission(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		decision := s.admission.admit(callKindOf(r), time.Now())
		if decision.silent {
			<-r.Context().Done()
			return
		}
		if decision.delay > 0 && !wait.For(r.Context(), decision.delay) {
			return
		}
		switch {
		case decision.down:
			http.Error(w, "platform is down", http.StatusServiceUnavailable)
		case decision.rateLimited:
			w.Header().Set("Retry-After", rateLimitRetryAfter)
			http.Error(w, "too many calls", http.StatusTooManyRequests)
		case decision.dropResponse:
			next(discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		default:
			next(w, r)
		}
	}
}

// discardWriter is a http.ResponseWriter for a call whose response is dropped.
type discardWriter struct {
	header http.Header
}

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have closed the connection
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	object, era, exists := s.Store.getWithEra(r.PathValue("kind"), r.PathValue("name"))
	setEra(w, era)
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, object)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("watch") {
		s.watch(w, r)
		return
	}
	objects, more, at := s.Store.page(r.PathValue("kind"), r.URL.Query().Get("after"), maxPage)
	setEra(w, at.era)
	writeJSON(w, http.StatusOK, map[string]any{"items": objects, "more": more, "as-of": at.revision})
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	s.admission.countWatch()
	fail, dropEvents := s.admission.watchFaults()
	if fail {
		panic(http.ErrAbortHandler)
	}
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	millis, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	maxWait := time.Duration(millis) * time.Millisecond
	if dropEvents {
		wait.For(r.Context(), maxWait)
		writeJSON(w, http.StatusOK, map[string]any{"events": []Event{}, "as-of": from})
		return
	}
	events, at, ok := s.Store.watch(r.Context(), r.PathValue("kind"), from, maxWait)
	if s.admission.isSilent() {
		<-r.Context().Done()
		return
	}
	fail, _ = s.admission.watchFaults()
	setEra(w, at.era)
	switch {
	case fail:
		panic(http.ErrAbortHandler)
	case !ok:
		w.WriteHeader(http.StatusGone)
	default:
		writeJSON(w, http.StatusOK, map[string]any{"events": events, "as-of": at.revision})
	}
}

// readObject decodes the object in a request body. If it fails, it writes the error status and
// returns false.
func readObject(w http.ResponseWriter, r *http.Request) (Object, bool) {
	var object Object
	text, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if len(text) > maxValueBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return object, false
	}
	if err == nil {
		err = json.Unmarshal(text, &object)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
	}
	return object, err == nil
}

func (s *Server) create(w http.ResponseWriter, r *http.Request) {
	submitted, ok := readObject(w, r)
	if !ok {
		return
	}
	s.Store.mu.Lock()
	defer s.Store.mu.Unlock()
	setEra(w, s.Store.era)
	kind := r.PathValue("kind")
	current, exists := s.Store.kinds[kind][submitted.Metadata.Name]
	if exists {
		writeJSON(w, http.StatusConflict, current)
		return
	}
	submitted.Metadata.Rev, submitted.Metadata.CreatedRev = 0, 0
	writeJSON(w, http.StatusCreated, s.Store.write(kind, submitted))
}

func (s *Server) replace(w http.ResponseWriter, r *http.Request) {
	s.update(w, r, func(current *Object, submitted Object) { current.Spec = submitted.Spec })
}

func (s *Server) replaceStatus(w http.ResponseWriter, r *http.Request) {
	s.update(w, r, func(current *Object, submitted Object) { current.Status = submitted.Status })
}

func (s *Server) update(w http.ResponseWriter, r *http.Request, apply func(current *Object, submitted Object)) {
	submitted, ok := readObject(w, r)
	if !ok {
		return
	}
	s.Store.mu.Lock()
	defer s.Store.mu.Unlock()
	setEra(w, s.Store.era)
	kind := r.PathValue("kind")
	current, exists := s.Store.kinds[kind][r.PathValue("name")]
	switch {
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case submitted.Metadata.Rev != 0 && submitted.Metadata.Rev != current.Metadata.Rev:
		writeJSON(w, http.StatusConflict, current)
	default:
		apply(&current, submitted)
		writeJSON(w, http.StatusOK, s.Store.write(kind, current))
	}
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	s.Store.mu.Lock()
	defer s.Store.mu.Unlock()
	setEra(w, s.Store.era)
	kind := r.PathValue("kind")
	current, exists := s.Store.kinds[kind][r.PathValue("name")]
	revision, _ := strconv.ParseUint(r.URL.Query().Get("rev"), 10, 64)
	switch {
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case revision != 0 && revision != current.Metadata.Rev:
		writeJSON(w, http.StatusConflict, current)
	default:
		s.Store.remove(kind, current)
		w.WriteHeader(http.StatusOK)
	}
}

func (s *Server) putVMs(w http.ResponseWriter, r *http.Request) {
	var vms []api.VM
	if decode(w, r, &vms) {
		s.SetVMs(vms)
	}
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if decode(w, r, &faults) {
		s.SetFaults(faults)
	}
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Counts())
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(r.Body).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}
