package target

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/fireflychute/fireflychute/internal/wait"
)

// Headers that targets and nodes agreed on.
const (
	HeaderRequestID = "Fireflychute-Request-Id"
	HeaderLoad      = "Fireflychute-Load"
	HeaderOutcome   = "Fireflychute-Outcome"
	outcomeNotRun   = "not-run"
)

// Handler serves the target's own work, health and load, and its administration.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", t.health)
	mux.HandleFunc("GET /load", t.load)
	mux.HandleFunc("GET /admin/stats", t.stats)
	mux.HandleFunc("POST /admin/drain", func(http.ResponseWriter, *http.Request) { t.Drain() })
	mux.HandleFunc("POST /admin/chill", func(http.ResponseWriter, *http.Request) { t.Chill() })
	mux.HandleFunc("PUT /admin/badness", t.putBadness)
	mux.HandleFunc("/", t.work)
	return mux
}

// ConnState counts connections and charges their cost; it is a hook of http.Server.
func (t *Target) ConnState(conn net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		t.addConnections(-1)
		return
	}
	if state != http.StateNew {
		return
	}
	if t.addConnections(1) > t.options.MaxConns {
		_ = conn.Close()
		return
	}
	go t.chargeConnection()
}

func (t *Target) addConnections(n int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.connections += n
	return t.connections
}

func (t *Target) chargeConnection() {
	<-t.free
	time.Sleep(t.options.ConnCost)
	t.free <- struct{}{}
}

func (t *Target) work(w http.ResponseWriter, r *http.Request) {
	refusal := t.begin()
	if refusal != Accepted {
		t.refuse(w, refusal)
		return
	}
	_, err := io.Copy(io.Discard, r.Body)
	if err != nil || !t.waitForSlot(r) {
		t.abandon()
		return
	}
	defer func() { t.free <- struct{}{} }()
	id := r.Header.Get(HeaderRequestID)
	p := t.start(id, r.URL.Path)
	done := wait.For(r.Context(), p.time)
	t.finish(done && !p.fail && !p.overloaded)
	if !done {
		return
	}
	t.answer(w, r, id, p)
}

func (t *Target) waitForSlot(r *http.Request) bool {
	select {
	case <-t.free:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (t *Target) answer(w http.ResponseWriter, r *http.Request, id string, p plan) {
	w.Header().Set(HeaderLoad, t.Report().header())
	if p.fail || p.overloaded {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	size, _ := strconv.Atoi(r.URL.Query().Get("bytes"))
	body := fmt.Sprintf("%s %s\n", id, r.URL.Path)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)+size))
	_, _ = io.WriteString(w, body)
	_, _ = io.CopyN(w, zeros{}, int64(size))
}

func (t *Target) refuse(w http.ResponseWriter, refusal Refusal) {
	w.Header().Set(HeaderLoad, t.Report().header())
	w.Header().Set(HeaderOutcome, outcomeNotRun)
	w.Header().Set("Retry-After", "1")
	http.Error(w, string(refusal), http.StatusServiceUnavailable)
}

func (t *Target) health(w http.ResponseWriter, _ *http.Request) {
	report := t.probed()
	w.Header().Set(HeaderLoad, report.header())
	if report.Draining {
		http.Error(w, string(RefusedDraining), http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (t *Target) load(w http.ResponseWriter, _ *http.Request) {
	report := t.probed()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

// probed counts a measuring call and returns the lagging report.
func (t *Target) probed() Report {
	t.mu.Lock()
	t.probes++
	t.mu.Unlock()
	return t.LaggingReport(time.Now())
}

func (t *Target) stats(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(t.Stats())
}

func (t *Target) putBadness(w http.ResponseWriter, r *http.Request) {
	var bad Badness
	err := json.NewDecoder(r.Body).Decode(&bad)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.SetBadness(bad)
}

// header formats the report as the value of HeaderLoad.
func (r Report) header() string {
	draining := 0
	if r.Draining {
		draining = 1
	}
	return fmt.Sprintf("inflight=%d;queued=%d;served=%d;incarnation=%s;version=%s;draining=%d",
		r.InFlight, r.Queued, r.Served, r.Incarnation, r.Version, draining)
}

// zeros is an endless reader of zero bytes.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}
