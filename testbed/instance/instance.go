// Package instance is a stand-in of the instances behind the platform: it runs
// requests in slots, tells its load, signs its answers and keeps a log of what it
// ran. It can show the faults of real instances.
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

// Faults are what an instance does wrong.
type Faults struct {
	// Status answers each request with a status after running it; 0 does not.
	Status int
	// Refuse answers each request with 503 as not run.
	Refuse bool
	// Hang never answers a request.
	Hang bool
	// Cut runs the request and closes the connection without an answer.
	Cut bool
	// Short sends half of the answer and closes the connection.
	Short bool
	// Foreign answers with another request's id.
	Foreign bool
	// Unsealed answers without the signature.
	Unsealed bool
	// Ill makes the health answer 503.
	Ill bool
	// Mute leaves health questions without an answer.
	Mute bool
	// Leaving makes each answer say that the instance leaves.
	Leaving bool
	// RetryAfter is what refusals say about when to come back, as it stands in the header.
	RetryAfter string
	// IllRetryAfter is the same for health answers of an ill instance.
	IllRetryAfter string
}

// Options are what an instance is like.
type Options struct {
	ID    string
	Slots int
	// ServiceTime is the time of one request.
	ServiceTime time.Duration
	// ResponseBody is the body of the answers.
	ResponseBody string
}

// Run is a request that the instance began to work on.
type Run struct {
	RequestID string
	Method    string
	Path      string
	Body      string
	StartedAt time.Time
}

// Instance is a running stand-in.
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
	runs        []Run
	probes      int
	dials       int
	// arrivals are the times at which requests and load questions came.
	arrivals []time.Time
}

// Start listens on a free loopback port.
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
	go func() { _ = i.server.Serve(listener) }() // ends with Stop
	return i, nil
}

// Stop ends the instance at once, as a crash does.
func (i *Instance) Stop() { _ = i.server.Close() }

// Address returns where the instance listens.
func (i *Instance) Address() string { return i.listener.Addr().String() }

// ID returns the instance's id.
func (i *Instance) ID() string { return i.options.ID }

// Entry returns what the instance writes to the platform's store when it is reached at an
// address.
func (i *Instance) Entry(address, version, state string) map[string]any {
	return map[string]any{
		"address": address, "born": 1700000000000,
		"info":   map[string]any{"service": "s", "version": version, "zone": "dc1", "slots": i.options.Slots},
		"status": map[string]any{"state": state, "seq": 1, "warmup-left-s": 0},
	}
}

// SetFaults replaces the faults.
func (i *Instance) SetFaults(faults Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = faults
}

// ReportLeaving makes each further answer say that the instance leaves, whatever its faults are.
func (i *Instance) ReportLeaving() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.isLeaving = true
}

// SetServiceTime replaces the time of one request.
func (i *Instance) SetServiceTime(serviceTime time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.serviceTime = serviceTime
}

// SetCold makes the instance say that it is cold for a time.
func (i *Instance) SetCold(remaining time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.coldUntil = time.Now().Add(remaining)
}

// Runs returns what the instance ran.
func (i *Instance) Runs() []Run {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]Run{}, i.runs...)
}

// Arrivals returns when requests and load questions came, those that were refused included.
func (i *Instance) Arrivals() []time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]time.Time{}, i.arrivals...)
}

// Probes returns how many load questions came, and Dials how many connections.
func (i *Instance) Probes() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.probes
}

// Dials returns how many connections were opened to the instance.
func (i *Instance) Dials() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.dials
}

// ServeHTTP implements http.Handler.
func (i *Instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	i.mu.Lock()
	i.arrivals = append(i.arrivals, time.Now())
	leaving := i.isLeaving || i.faults.Leaving
	i.mu.Unlock()
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
	if faults.Refuse || r.Header.Get("Fireflychute-Deadline-Ms") == "" {
		w.Header().Set("Fireflychute-Not-Executed", "1")
		setRetryAfter(w, faults.RetryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	i.execute(w, r, id, faults)
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
	case faults.Cut:
		panic(http.ErrAbortHandler)
	case faults.Foreign:
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
	if !faults.Short {
		_, _ = io.WriteString(w, i.options.ResponseBody) // a node that left is seen at its connection
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(i.options.ResponseBody)))
	_, _ = io.WriteString(w, i.options.ResponseBody[:len(i.options.ResponseBody)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// Seal is the signature of an answer.
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
	if faults.Mute {
		<-r.Context().Done()
		return
	}
	waiting := max(0, running-i.options.Slots)
	w.Header().Set("Fireflychute-Instance-Id", i.options.ID)
	w.Header().Set("Fireflychute-Instance-Load", fmt.Sprintf("%d,%d,%d,100", running-waiting, waiting, i.options.Slots))
	if warmupLeft > 0 {
		w.Header().Set("Fireflychute-Warmup-Ms", strconv.FormatInt(warmupLeft.Milliseconds(), 10))
	}
	if faults.Ill {
		setRetryAfter(w, faults.IllRetryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func setRetryAfter(w http.ResponseWriter, value string) {
	if value != "" {
		w.Header().Set("Retry-After", value)
	}
}
