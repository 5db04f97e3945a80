package edge

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/catalog"
)

const (
	// maxEndlessBytes is how much of what never ends may be taken, system buffers included.
	maxEndlessBytes = 16 << 20
	// closeTimeout is how long a node may keep to such a connection beyond its time-outs.
	closeTimeout = 3 * time.Second
)

// endlessTarget is a target that answers requests, or load questions, with bytes that never end.
type endlessTarget struct {
	listener net.Listener
	// onProbe tells that load questions get them, not requests.
	onProbe  bool
	prefix   string
	repeated string

	mu       sync.Mutex
	written  int
	closed   int
	streams  int
	requests int
}

func startEndlessTarget(t *testing.T, onProbe bool, prefix, repeated string) *endlessTarget {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	e := &endlessTarget{listener: listener, onProbe: onProbe, prefix: prefix, repeated: repeated}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e
}

func (e *endlessTarget) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		isProbe := request.URL.Path == "/health"
		if isProbe == e.onProbe {
			e.stream(conn, request.Header.Get("Fireflychute-Request-Id"))
			return
		}
		if !isProbe {
			e.mu.Lock()
			e.requests++
			e.mu.Unlock()
		}
		_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nFireflychute-Instance-Id: i-0\r\nFireflychute-Instance-Load: 0,0,6,100\r\nContent-Length: 0\r\n\r\n")
		if err != nil {
			return
		}
	}
}

// stream writes until the caller closes.
func (e *endlessTarget) stream(conn net.Conn, id string) {
	e.mu.Lock()
	e.streams++
	e.mu.Unlock()
	prefix := strings.ReplaceAll(e.prefix, "ID", id)
	filler := bytes.Repeat([]byte(e.repeated), max(1, 4096/max(1, len(e.repeated))))
	_, err := io.WriteString(conn, prefix)
	for err == nil {
		_ = conn.SetWriteDeadline(time.Now().Add(20 * time.Second))
		var n int
		n, err = conn.Write(filler)
		e.mu.Lock()
		e.written += n
		e.mu.Unlock()
	}
	e.mu.Lock()
	e.closed++
	e.mu.Unlock()
}

func (e *endlessTarget) counts() (written, open int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.written, e.streams - e.closed
}

const sealedHeader = "HTTP/1.1 200 OK\r\nFireflychute-Request-Id: ID\r\nFireflychute-Response-Seal: s\r\n"

// endlessResponses are the places in an answer at which bytes may go on without end.
var endlessResponses = map[string]struct{ start, repeated string }{
	"status line":      {"HTTP/1.1 200 ", "OK"},
	"no answer":        {"", "\x00\xff garbage "},
	"head":             {sealedHeader, "X-Filler: 0123456789\r\n"},
	"head line":        {sealedHeader + "X-Filler: ", "0123456789"},
	"interim answers":  {"", "HTTP/1.1 103 Early Hints\r\nX-Filler: 0123456789\r\n\r\n"},
	"chunk extensions": {sealedHeader + "Transfer-Encoding: chunked\r\n\r\n4;", "extension=0123456789;"},
	"small chunks":     {sealedHeader + "Transfer-Encoding: chunked\r\n\r\n", "1;extension=0123456789\r\nx\r\n"},
	"trailers":         {sealedHeader + "Transfer-Encoding: chunked\r\nTrailer: X-Filler\r\n\r\n4\r\nbody\r\n0\r\n", "X-Filler: 0123456789\r\n"},
	"body":             {sealedHeader + "\r\n", "0123456789"},
	"chunked body":     {sealedHeader + "Transfer-Encoding: chunked\r\n\r\n", "a\r\n0123456789\r\n"},
}

func newEndlessBalancer(t *testing.T, e *endlessTarget) *testBalancer {
	b := newTestBalancer(t, 0)
	b.targets = []catalog.Target{{ID: "i-0", Address: e.listener.Addr().String(), Service: "s", Version: "v1", DataCentre: "dc1", Slots: 6}}
	b.publish()
	return b
}

// Guards (P5) against an answer without end that is taken for a complete one, fills the
// memory, or keeps a request and a connection for ever.
func TestEndlessResponsesAreAborted(t *testing.T) {
	for name, response := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := startEndlessTarget(t, false, response.start, response.repeated)
			b := newEndlessBalancer(t, e)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			received, err := http.DefaultClient.Do(b.request(ctx, http.MethodGet, "/unsafe-short/1", ""))
			if err == nil {
				var body int64
				body, err = io.Copy(io.Discard, io.LimitReader(received.Body, 1<<30))
				_ = received.Body.Close()
				if received.StatusCode == http.StatusOK {
					b.g.Expect(err).To(HaveOccurred(), fmt.Sprintf("a success with %d bytes ended as if it were whole", body))
				} else {
					b.g.Expect(received.StatusCode).To(BeElementOf(http.StatusBadGateway, http.StatusGatewayTimeout), "it may have run")
				}
			}
			b.g.Eventually(func() int { _, open := e.counts(); return open }, closeTimeout, "20ms").Should(BeZero(), "the connection is closed")
			if !strings.Contains(name, "body") && name != "small chunks" {
				written, _ := e.counts()
				b.g.Expect(written).To(BeNumerically("<", maxEndlessBytes))
			}
			b.g.Expect(b.handler.InFlight()).To(BeZero())
		})
	}
}

// Guards against load questions whose answers never end: the target gets no request, the
// request is refused as not run, and nothing stays behind.
func TestEndlessProbeResponsesAreAborted(t *testing.T) {
	for name, response := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := startEndlessTarget(t, true, response.start, response.repeated)
			b := newEndlessBalancer(t, e)
			status, _, _ := b.call(http.MethodGet, "/unsafe/1", "")
			b.g.Eventually(func() int { _, open := e.counts(); return open }, closeTimeout, "20ms").Should(BeZero(), "the connection is closed")
			written, _ := e.counts()
			b.g.Expect(written).To(BeNumerically("<", maxEndlessBytes))
			b.g.Expect(status).To(Equal(http.StatusServiceUnavailable))
			e.mu.Lock()
			defer e.mu.Unlock()
			b.g.Expect(e.requests).To(BeZero())
		})
	}
}
