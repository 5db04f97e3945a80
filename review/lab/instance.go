package lab

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Instance is a stand-in for an instance of a service.
type Instance struct {
	ID, Address, Service string
	// Slots requests run at a time, Queue more wait for a slot; any beyond are rejected.
	Slots, Queue int
	// Work is how long a request takes.
	Work time.Duration
	// BodyBytes is the size of the body of each response.
	BodyBytes int
	// OnEvent is called for each thing that happens to a request: "arrives", "runs", "ends", "cut".
	OnEvent func(i *Instance, what, id, path string)
	// NoLoad is set if the instance tells no load: a load probe is then rejected as any request while it is full.
	NoLoad bool
	// LoseAnswer, if set, reports whether the answer to a request is lost in a reset after it has run.
	LoseAnswer func() bool
	// Extra, if set, reports whether a copy of a response is to be sent again, late: before the response to the next
	// request on the connection.
	Extra func() bool

	mu sync.Mutex
	// taken counts the requests and load probes that run or wait.
	taken int
	free  chan struct{} // holds a token for each free slot
}

// StartInstance starts an instance that the fields given describe and registers it in the store.
func (l *Lab) StartInstance(i *Instance) error {
	listener, err := net.Listen("tcp", "127.0.42.1:0")
	if err != nil {
		return err
	}
	i.Address = listener.Addr().String()
	i.free = make(chan struct{}, i.Slots)
	for range i.Slots {
		i.free <- struct{}{}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go i.serve(conn)
		}
	}()
	l.Register(i)
	return nil
}

// Register writes the entry of the instance.
func (l *Lab) Register(i *Instance) {
	l.Store.Put("servers", i.ID, map[string]any{
		"address": i.Address, "born": 1700000000000,
		"info":   map[string]any{"service": i.Service, "version": "v1", "zone": "alex-east", "slots": i.Slots},
		"status": map[string]any{"state": "ready", "seq": 4, "warmup-left-s": 0},
	})
}

func (i *Instance) event(what, id, path string) {
	if i.OnEvent != nil {
		i.OnEvent(i, what, id, path)
	}
}

// serve serves one request at a time on a connection.
func (i *Instance) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	pending := "" // copy of the last response that is still to be sent
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, err = io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if pending != "" {
			i.event("sends the last response of the connection again", request.Header.Get("Fireflychute-Request-Id"), request.URL.EscapedPath())
			_, _ = io.WriteString(conn, pending)
			pending = ""
		}
		gone := make(chan struct{})
		peeked := make(chan struct{})
		go func() {
			defer close(peeked)
			_, err := reader.Peek(1)
			if err != nil {
				close(gone)
			}
		}()
		response := i.handle(request, gone)
		if response == "" {
			_ = conn.(*net.TCPConn).SetLinger(0) // a lost answer ends in a reset
			return
		}
		_, err = io.WriteString(conn, response)
		if err != nil {
			return
		}
		if i.Extra != nil && i.Extra() {
			pending = response
		}
		<-peeked
	}
}

// handle returns the whole response to a request, "" if the connection was closed meanwhile.
func (i *Instance) handle(request *http.Request, gone <-chan struct{}) string {
	id := request.Header.Get("Fireflychute-Request-Id")
	if request.URL.Path == "/health" {
		return i.health(gone)
	}
	i.event("arrives", id, request.URL.EscapedPath())
	if expected := request.Header.Get("Fireflychute-Target-Instance"); expected != "" && expected != i.ID {
		return response(421, nil, "Fireflychute-Instance-Id: "+i.ID, "Fireflychute-Request-Id: "+id)
	}
	switch i.take(gone) {
	case full:
		i.event("rejected", id, request.URL.EscapedPath())
		return response(503, nil, "Fireflychute-Not-Executed: 1", "Fireflychute-Request-Id: "+id)
	case left:
		return ""
	}
	defer i.release()
	i.event("runs", id, request.URL.EscapedPath())
	select {
	case <-time.After(i.Work):
	case <-gone:
		i.event("cut", id, request.URL.EscapedPath())
		return ""
	}
	i.event("ends", id, request.URL.EscapedPath())
	if i.LoseAnswer != nil && i.LoseAnswer() {
		i.event("loses the answer", id, request.URL.EscapedPath())
		return ""
	}
	body := Body(id, i.BodyBytes)
	return response(200, body, "Fireflychute-Request-Id: "+id, "Fireflychute-Response-Seal: "+Seal(id, body))
}

// health answers a load probe. An instance that tells no load handles it as any request.
func (i *Instance) health(gone <-chan struct{}) string {
	if !i.NoLoad {
		i.mu.Lock()
		running, waiting := min(i.taken, i.Slots), max(0, i.taken-i.Slots)
		i.mu.Unlock()
		return response(200, nil, "Fireflychute-Instance-Id: "+i.ID, fmt.Sprintf("Fireflychute-Instance-Load: %d,%d,%d,100", running, waiting, i.Slots))
	}
	switch i.take(gone) {
	case full:
		return response(503, nil, "Fireflychute-Not-Executed: 1", "Fireflychute-Instance-Id: "+i.ID)
	case left:
		return ""
	}
	i.release()
	return response(200, nil, "Fireflychute-Instance-Id: "+i.ID)
}

// admission is what becomes of a request that arrives.
type admission int

const (
	admitted admission = iota
	full
	left
)

// take waits for a slot.
func (i *Instance) take(gone <-chan struct{}) admission {
	i.mu.Lock()
	if i.taken >= i.Slots+i.Queue {
		i.mu.Unlock()
		return full
	}
	i.taken++
	i.mu.Unlock()
	select {
	case <-i.free:
		return admitted
	case <-gone:
		i.mu.Lock()
		i.taken--
		i.mu.Unlock()
		return left
	}
}

func (i *Instance) release() {
	i.mu.Lock()
	i.taken--
	i.mu.Unlock()
	i.free <- struct{}{}
}

func response(status int, body []byte, headers ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, header := range headers {
		b.WriteString(header + "\r\n")
	}
	b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
	b.Write(body)
	return b.String()
}

// Body returns the body of the response to a request.
func Body(id string, size int) []byte {
	line := id + "\n"
	return []byte(strings.Repeat(line, size/len(line)+1)[:size])
}

// Seal returns the signature of a response.
func Seal(id string, body []byte) string {
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, id+"\x00")
	_, _ = hash.Write(body)
	return strconv.FormatUint(hash.Sum64(), 16)
}
