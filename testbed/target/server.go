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
	mux.HandleFunc("POST /admin/chill", func(http.ResponseWriter, *http.Request) { t.ResetWarmUp() })
	mux.HandleFunc("PUT /admin/badness", t.putDefect)
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
	admission := t.admit()
	if admission != Accepted {
		t.reject(w, admission)
		return
	}
	_, err := io.Copy(io.Discard, r.Body)
	if err != nil || !t.waitForSlot(r) {
		t.leaveQueue()
		return
	}
	defer func() { t.free <- struct{}{} }()
	id := r.Header.Get(HeaderRequestID)
	e := t.startExecution(id, r.URL.Path)
	done := wait.For(r.Context(), e.duration)
	t.finishExecution(done && !e.fail && !e.overloaded)
	if !done {
		return
	}
	t.respond(w, r, id, e)
}

func (t *Target) waitForSlot(r *http.Request) bool {
	select {
	case <-t.free:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (t *Target) respond(w http.ResponseWriter, r *http.Request, id string, e execution) {
	w.Header().Set(HeaderLoad, t.Report().header())
	if e.fail || e.overloaded {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	size, _ := strconv.Atoi(r.URL.Query().Get("bytes"))
	body := fmt.Sprintf("%s %s\n", id, r.URL.Path)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)+size))
	_, _ = io.WriteString(w, body)
	_, _ = io.CopyN(w, zeroReader{}, int64(size))
}

func (t *Target) reject(w http.ResponseWriter, admission Admission) {
	w.Header().Set(HeaderLoad, t.Report().header())
	w.Header().Set(HeaderOutcome, outcomeNotRun)
	w.Header().Set("Retry-After", "1")
	http.Error(w, string(admission), http.StatusServiceUnavailable)
}

func (t *Target) health(w http.ResponseWriter, _ *http.Request) {
	report := t.recordProbe()
	w.Header().Set(HeaderLoad, report.header())
	if report.Draining {
		http.Error(w, string(RejectedDraining), http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (t *Target) load(w http.ResponseWriter, _ *http.Request) {
	report := t.recordProbe()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

// recordProbe counts a measuring call and returns the lagging report.
func (t *Target) recordProbe() Report {
	t.mu.Lock()
	t.probes++
	t.mu.Unlock()
	return t.LaggingReport(time.Now())
}

func (t *Target) stats(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(t.Stats())
}

func (t *Target) putDefect(w http.ResponseWriter, r *http.Request) {
	var defect Defect
	err := json.NewDecoder(r.Body).Decode(&defect)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.SetDefect(defect)
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

// zeroReader is an endless reader of zero bytes.
type zeroReader struct{}

func (zeroReader) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}
