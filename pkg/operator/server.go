package operator

import (
	"encoding/json"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/platform"
	"github.com/fireflychute/fireflychute/pkg/snapshot"
)

// Server answers operators.
type Server struct {
	store    platform.Store
	snapshot *atomic.Pointer[snapshot.Snapshot]
	mux      *http.ServeMux
}

// NewServer returns a handler that writes to store and reads the published snapshot.
func NewServer(store platform.Store, published *atomic.Pointer[snapshot.Snapshot]) *Server {
	s := &Server{store: store, snapshot: published, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /v1/apply", s.apply)
	s.mux.HandleFunc("GET /readyz", s.ready)
	s.mux.HandleFunc("GET /livez", func(http.ResponseWriter, *http.Request) {})
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	var request ApplyRequest
	err := json.NewDecoder(r.Body).Decode(&request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	result, err := Apply(r.Context(), s.store, request)
	switch {
	case errors.Is(err, platform.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(result)
	}
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	view := s.snapshot.Load()
	if view == nil || view.Revision == 0 || view.Isolated {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}
