package lab

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Store is a stand-in for the platform's metadata store, as far as the nodes use it: lists, watches, conditional
// writes. It has no rate limits and keeps its whole history.
type Store struct {
	Address string

	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	history  []event
	changed  chan struct{}
}

type metadata struct {
	Name       string   `json:"name"`
	Rev        uint64   `json:"rev"`
	CreatedRev uint64   `json:"created-rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	rev     uint64
}

func newStore() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: listener.Addr().String(), revision: 100, kinds: map[string]map[string]object{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}", s.list)
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.get)
	mux.HandleFunc("POST /v1/objects/{kind}", s.create)
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.update)
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}/status", s.update)
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.delete)
	go func() { _ = http.Serve(listener, mux) }() // runs until the process ends
	return s, nil
}

// Put writes a spec without a condition, as the operator and the instances do.
func (s *Store) Put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	o.Metadata.Name, o.Spec = name, text
	s.write(kind, o)
}

// Remove deletes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *Store) write(kind string, o object) object {
	current, exists := s.kinds[kind][o.Metadata.Name]
	if exists && string(current.Spec) == string(o.Spec) && string(current.Status) == string(o.Status) {
		return current
	}
	s.revision++
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	if !exists {
		o.Metadata.CreatedRev = s.revision
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	o.Metadata.Rev = s.revision
	s.kinds[kind][o.Metadata.Name] = o
	s.record(event{kind: kind, Object: o, rev: s.revision})
	return o
}

func (s *Store) remove(kind, name string) {
	o, exists := s.kinds[kind][name]
	if !exists {
		return
	}
	s.revision++
	delete(s.kinds[kind], name)
	s.record(event{kind: kind, Object: o, Deleted: true, rev: s.revision})
}

func (s *Store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have gone
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("watch") {
		s.watch(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for name, o := range s.kinds[r.PathValue("kind")] {
		if name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Metadata.Name < items[b].Metadata.Name })
	answer(w, http.StatusOK, map[string]any{"items": items, "more": false, "as-of": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	millis, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timer := time.NewTimer(time.Duration(millis) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == r.PathValue("kind") && e.rev > from {
				events = append(events, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || !waiting {
			answer(w, http.StatusOK, map[string]any{"events": events, "as-of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, exists := s.kinds[r.PathValue("kind")][r.PathValue("name")]
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *Store) create(w http.ResponseWriter, r *http.Request) {
	var submitted object
	if json.NewDecoder(r.Body).Decode(&submitted) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := r.PathValue("kind")
	if current, exists := s.kinds[kind][submitted.Metadata.Name]; exists {
		answer(w, http.StatusConflict, current)
		return
	}
	answer(w, http.StatusCreated, s.write(kind, object{Metadata: metadata{Name: submitted.Metadata.Name}, Spec: submitted.Spec, Status: submitted.Status}))
}

// update replaces the spec or, at the path of the status, the status.
func (s *Store) update(w http.ResponseWriter, r *http.Request) {
	var submitted object
	if json.NewDecoder(r.Body).Decode(&submitted) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := r.PathValue("kind")
	current, exists := s.kinds[kind][r.PathValue("name")]
	switch {
	case !exists:
		w.WriteHeader(http.StatusNotFound)
		return
	case submitted.Metadata.Rev != 0 && submitted.Metadata.Rev != current.Metadata.Rev:
		answer(w, http.StatusConflict, current)
		return
	}
	if r.URL.Path == "/v1/objects/"+kind+"/"+r.PathValue("name")+"/status" {
		current.Status = submitted.Status
	} else {
		current.Spec = submitted.Spec
	}
	answer(w, http.StatusOK, s.write(kind, current))
}

func (s *Store) delete(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, name := r.PathValue("kind"), r.PathValue("name")
	current, exists := s.kinds[kind][name]
	condition, _ := strconv.ParseUint(r.URL.Query().Get("rev"), 10, 64)
	switch {
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case condition != 0 && condition != current.Metadata.Rev:
		answer(w, http.StatusConflict, current)
	default:
		s.remove(kind, name)
		w.WriteHeader(http.StatusOK)
	}
}
