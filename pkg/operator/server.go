package operator

import (
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/objectstore"
)

const (
	// DefaultMaxBodyBytes bounds a request body. A declaration of 80 services
	// takes about 240 KB.
	DefaultMaxBodyBytes = 4 << 20
	// maxWatchTimeout is the longest wait of one call of /v1/watch.
	maxWatchTimeout = 30 * time.Second
)

// Options is what a server works with.
type Options struct {
	// Store is the platform. Writes go to it directly.
	Store objectstore.Store
	// Backend is the node's control state.
	Backend Backend
	// OnCommit is told of each change that this server committed, with all specs by
	// digest, so that the node need not read from the platform what it just wrote.
	// It must not change them; nil tells no one.
	OnCommit func(revision uint64, manifest api.Manifest, blobs map[string][]byte)
	// Metrics serves /metrics; nil answers 404 there.
	Metrics http.Handler
	// MaxBodyBytes bounds a request body; 0 takes DefaultMaxBodyBytes.
	MaxBodyBytes int64
	// Now is the clock by which new rollouts are checked; nil takes time.Now.
	Now func() time.Time
}

// Server answers operators.
type Server struct {
	options   Options
	committer committer
	mux       *http.ServeMux
}

// NewServer returns the handler of the operators' listener.
func NewServer(options Options) *Server {
	if options.MaxBodyBytes == 0 {
		options.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	s := &Server{options: options, mux: http.NewServeMux()}
	s.committer = committer{store: options.Store, backend: options.Backend, now: options.Now, onCommit: options.OnCommit}
	s.registerHandlers()
	s.registerProfiling()
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

func (s *Server) registerHandlers() {
	s.mux.HandleFunc("POST /v1/apply", s.apply)
	s.mux.HandleFunc("DELETE /v1/{kind}/{name}", s.remove)
	s.mux.HandleFunc("GET /v1/{kind}", s.list)
	s.mux.HandleFunc("GET /v1/{kind}/{name}", s.get)
	s.mux.HandleFunc("GET /v1/watch", s.watch)
	s.mux.HandleFunc("GET /v1/status", s.status)
	s.mux.HandleFunc("GET /v1/nodes", s.nodes)
	s.mux.HandleFunc("GET /v1/top", s.top)
	s.mux.HandleFunc("GET /v1/explain/requests/{id}", s.explain)
	s.mux.HandleFunc("GET /readyz", s.ready)
	s.mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { writeResponse(w, struct{}{}) })
	if s.options.Metrics != nil {
		s.mux.Handle("GET /metrics", s.options.Metrics)
	}
	s.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, notFound("no such path: "+r.Method+" "+r.URL.Path))
	})
}

func (s *Server) registerProfiling() {
	s.mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	s.mux.HandleFunc("GET /debug/pprof/cmdline", pprof.Cmdline)
	s.mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	s.mux.HandleFunc("GET /debug/pprof/symbol", pprof.Symbol)
	s.mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
}
