// Package instance is a stand-in for the instances behind the platform: it executes requests,
// reports its load relative to its slots, seals its responses and records the requests it executed.
// It can inject the faults of real instances.
package instance

import (
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Faults selects the faults of an instance; the zero value has none.
type Faults struct {
	// Status is the status sent for each request after executing it; 0 means 200.
	Status int
	// Reject rejects each request with 503, marked as not run.
	Reject bool
	// Hang executes each request and never responds.
	Hang bool
	// DropResponse executes each request and closes the connection without a response.
	DropResponse bool
	// TruncateResponse sends half of the response body and closes the connection.
	TruncateResponse bool
	// WrongRequestID responds with the id of another request.
	WrongRequestID bool
	// Unsealed responds without a seal.
	Unsealed bool
	// Unhealthy responds to load probes with 503.
	Unhealthy bool
	// SilentProbes never responds to load probes.
	SilentProbes bool
	// Leaving reports in each response that the instance is leaving.
	Leaving bool
	// RetryAfter is the value of the Retry-After header of rejections; empty for none.
	RetryAfter string
	// UnhealthyRetryAfter is the same for the probe responses of an Unhealthy instance.
	UnhealthyRetryAfter string
}

// Options configures an instance.
type Options struct {
	ID    string
	Slots int
	// ServiceTime is the execution time of each request.
	ServiceTime time.Duration
	// ResponseBody is the body of each response.
	ResponseBody string
}

// Run is a request that the instance started to execute.
type Run struct {
	RequestID string
	Method    string
	Path      string
	Body      string
	StartedAt time.Time
}

// Instance is a running stand-in; Stop releases its listener.
type Instance struct {
	options  Options
	listener net.Listener
	server   *http.Server

	mu          sync.Mutex
	serviceTime time.Duration
	faults      Faults
	running     int
	coldUntil   time.Time
	isLeaving   bool
	// limit is the value of the limit header, empty for none; naming holds its changes.
	limit  string
	naming []Naming
	runs   []Run
	probes int
	// entries counts the entries made for the store.
	entries int
	dials   int
	// arrivals holds the arrival times of requests and load probes.
	arrivals []time.Time
}

// Start starts an instance on a free loopback port.
func Start(options Options) (*Instance, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	i := &Instance{options: options, listener: listener, serviceTime: options.ServiceTime}
	i.server = &http.Server{Handler: i, ConnState: func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			i.mu.Lock()
			i.dials++
			i.mu.Unlock()
		}
	}}
	go func() { _ = i.server.Serve(listener) }() // returns after Stop
	return i, nil
}

// Stop closes the listener and all connections immediately, as a crash does.
func (i *Instance) Stop() { _ = i.server.Close() }

// Address returns the address on which the instance listens.
func (i *Instance) Address() string { return i.listener.Addr().String() }

// ID returns the instance's id.
func (i *Instance) ID() string { return i.options.ID }

// Entry returns the entry that the instance writes to the platform's store if it is reachable at
// the address.
func (i *Instance) Entry(address, version, state string) map[string]any {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.entries++
	return map[string]any{
		"address": address, "born": 1700000000000,
		"info":   map[string]any{"service": "s", "version": version, "zone": "dc1", "slots": i.options.Slots},
		"status": map[string]any{"state": state, "seq": i.entries, "warmup-left-s": 0},
	}
}

// SetFaults replaces the current faults.
func (i *Instance) SetFaults(faults Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = faults
}

// ReportLeaving makes each further response report that the instance is leaving, whatever its
// faults are.
func (i *Instance) ReportLeaving() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.isLeaving = true
}

// Naming is a change of the limit that an instance names in its responses.
type Naming struct {
	At time.Time
	// Limit is the value of the header, empty for none.
	Limit string
}

// NameLimit makes each further response name a limit for all nodes together; empty ends it.
func (i *Instance) NameLimit(limit string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.limit = limit
	i.naming = append(i.naming, Naming{time.Now(), limit})
}

// Namings returns the changes of the limit that the instance named, in order.
func (i *Instance) Namings() []Naming {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]Naming{}, i.naming...)
}

// SetServiceTime replaces the execution time of each request.
func (i *Instance) SetServiceTime(serviceTime time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.serviceTime = serviceTime
}

// SetCold makes the instance report a warm-up that ends after the remaining time.
func (i *Instance) SetCold(remaining time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.coldUntil = time.Now().Add(remaining)
}

// Runs returns the requests that the instance started to execute, in order.
func (i *Instance) Runs() []Run {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]Run{}, i.runs...)
}

// Arrivals returns the arrival times of requests and load probes, including rejected ones.
func (i *Instance) Arrivals() []time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]time.Time{}, i.arrivals...)
}

// Probes returns the number of load probes that arrived.
func (i *Instance) Probes() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.probes
}

// Dials returns the number of connections that were opened to the instance.
func (i *Instance) Dials() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.dials
}

// ServeHTTP serves load probes at /health and executes all other requests.
func (i *Instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	i.mu.Lock()
	i.arrivals = append(i.arrivals, time.Now())
	leaving := i.isLeaving || i.faults.Leaving
	i.mu.Unlock()
	w = &limitWriter{ResponseWriter: w, instance: i}
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/health" {
		i.serveHealth(w, r)
		return
	}
	id := r.Header.Get("Fireflychute-Request-Id")
	w.Header().Set("Fireflychute-Request-Id", id)
	if expected := r.Header.Get("Fireflychute-Target-Instance"); expected != "" && expected != i.options.ID {
		w.Header().Set("Fireflychute-Instance-Id", i.options.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	i.mu.Lock()
	faults := i.faults
	i.mu.Unlock()
	if faults.Reject || r.Header.Get("Fireflychute-Deadline-Ms") == "" {
		w.Header().Set("Fireflychute-Not-Executed", "1")
		setRetryAfter(w, faults.RetryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	i.execute(w, r, id, faults)
}

// limitWriter adds the limit that the instance names at the moment at which it sends the head of a
// response.
type limitWriter struct {
	http.ResponseWriter
	instance *Instance
	sent     bool
}

// Unwrap is used by http.ResponseController.
func (w *limitWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *limitWriter) WriteHeader(status int) {
	w.addLimit()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *limitWriter) Write(body []byte) (int, error) {
	w.addLimit()
	return w.ResponseWriter.Write(body)
}

func (w *limitWriter) addLimit() {
	if w.sent {
		return
	}
	w.sent = true
	w.instance.mu.Lock()
	limit := w.instance.limit
	w.instance.mu.Unlock()
	if limit != "" {
		w.Header().Set("Server-Limit", limit)
	}
}

func (i *Instance) execute(w http.ResponseWriter, r *http.Request, id string, faults Faults) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	i.mu.Lock()
	i.running++
	i.runs = append(i.runs, Run{id, r.Method, r.URL.RequestURI(), string(body), time.Now()})
	serviceTime := i.serviceTime
	i.mu.Unlock()
	defer func() {
		i.mu.Lock()
		i.running--
		i.mu.Unlock()
	}()
	select {
	case <-time.After(serviceTime):
	case <-r.Context().Done():
		return
	}
	switch {
	case faults.Hang:
		<-r.Context().Done()
		return
	case faults.DropResponse:
		panic(http.ErrAbortHandler)
	case faults.WrongRequestID:
		w.Header().Set("Fireflychute-Request-Id", "other")
	}
	if !faults.Unsealed {
		w.Header().Set("Fireflychute-Response-Seal", Seal(id, i.options.ResponseBody))
	}
	if faults.Status != 0 {
		w.WriteHeader(faults.Status)
	}
	i.writeResponse(w, faults)
}

func (i *Instance) writeResponse(w http.ResponseWriter, faults Faults) {
	if !faults.TruncateResponse {
		_, _ = io.WriteString(w, i.options.ResponseBody) // a write error means that the node closed the connection
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(i.options.ResponseBody)))
	_, _ = io.WriteString(w, i.options.ResponseBody[:len(i.options.ResponseBody)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// Seal returns the checksum that binds a response body to its request id.
func Seal(requestID, body string) string {
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, requestID+"\x00"+body)
	return hex.EncodeToString(hash.Sum(nil))
}

func (i *Instance) serveHealth(w http.ResponseWriter, r *http.Request) {
	i.mu.Lock()
	i.probes++
	faults, running, warmupLeft := i.faults, i.running, time.Until(i.coldUntil)
	i.mu.Unlock()
	if faults.SilentProbes {
		<-r.Context().Done()
		return
	}
	waiting := max(0, running-i.options.Slots)
	w.Header().Set("Fireflychute-Instance-Id", i.options.ID)
	w.Header().Set("Fireflychute-Instance-Load", fmt.Sprintf("%d,%d,%d,100", running-waiting, waiting, i.options.Slots))
	if warmupLeft > 0 {
		w.Header().Set("Fireflychute-Warmup-Ms", strconv.FormatInt(warmupLeft.Milliseconds(), 10))
	}
	status := http.StatusOK
	if faults.Unhealthy {
		setRetryAfter(w, faults.UnhealthyRetryAfter)
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
}

func setRetryAfter(w http.ResponseWriter, value string) {
	if value != "" {
		w.Header().Set("Retry-After", value)
	}
}
