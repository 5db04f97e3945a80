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
	// endlessBound is how much of what never ends may be taken, system buffers included.
	endlessBound = 16 << 20
	// endlessTime is how long a node may keep to such a connection beyond its time-outs.
	endlessTime = 3 * time.Second
)

// endless is a target that answers requests, or load questions, with bytes that never end.
type endless struct {
	listener net.Listener
	// onHealth tells that load questions get them, not requests.
	onHealth bool
	start    string
	repeated string

	mu       sync.Mutex
	written  int
	closed   int
	streams  int
	requests int
}

func startEndless(t *testing.T, onHealth bool, start, repeated string) *endless {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	e := &endless{listener: listener, onHealth: onHealth, start: start, repeated: repeated}
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

func (e *endless) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		isHealth := request.URL.Path == "/health"
		if isHealth == e.onHealth {
			e.stream(conn, request.Header.Get("Fireflychute-Request-Id"))
			return
		}
		if !isHealth {
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
func (e *endless) stream(conn net.Conn, id string) {
	e.mu.Lock()
	e.streams++
	e.mu.Unlock()
	text := strings.ReplaceAll(e.start, "ID", id)
	filler := bytes.Repeat([]byte(e.repeated), max(1, 4096/max(1, len(e.repeated))))
	_, err := io.WriteString(conn, text)
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

func (e *endless) seen() (written, open int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.written, e.streams - e.closed
}

const sealedHead = "HTTP/1.1 200 OK\r\nFireflychute-Request-Id: ID\r\nFireflychute-Response-Seal: s\r\n"

// endlessAnswers are the places in an answer at which bytes may go on without end.
var endlessAnswers = map[string]struct{ start, repeated string }{
	"status line":      {"HTTP/1.1 200 ", "OK"},
	"no answer":        {"", "\x00\xff garbage "},
	"head":             {sealedHead, "X-Filler: 0123456789\r\n"},
	"head line":        {sealedHead + "X-Filler: ", "0123456789"},
	"interim answers":  {"", "HTTP/1.1 103 Early Hints\r\nX-Filler: 0123456789\r\n\r\n"},
	"chunk extensions": {sealedHead + "Transfer-Encoding: chunked\r\n\r\n4;", "extension=0123456789;"},
	"small chunks":     {sealedHead + "Transfer-Encoding: chunked\r\n\r\n", "1;extension=0123456789\r\nx\r\n"},
	"trailers":         {sealedHead + "Transfer-Encoding: chunked\r\nTrailer: X-Filler\r\n\r\n4\r\nbody\r\n0\r\n", "X-Filler: 0123456789\r\n"},
	"body":             {sealedHead + "\r\n", "0123456789"},
	"chunked body":     {sealedHead + "Transfer-Encoding: chunked\r\n\r\n", "a\r\n0123456789\r\n"},
}

func endlessBench(t *testing.T, e *endless) *bench {
	b := newBench(t, 0)
	b.targets = []catalog.Target{{ID: "i-0", Address: e.listener.Addr().String(), Service: "s", Version: "v1", DataCentre: "dc1", Slots: 6}}
	b.publish()
	return b
}

// Guards (P5) against an answer without end that is taken for a complete one, fills the
// memory, or keeps a request and a connection for ever.
func TestAnswersWithoutEndAreGivenUp(t *testing.T) {
	for name, answer := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := startEndless(t, false, answer.start, answer.repeated)
			b := endlessBench(t, e)
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
			b.g.Eventually(func() int { _, open := e.seen(); return open }, endlessTime, "20ms").Should(BeZero(), "the connection is closed")
			if !strings.Contains(name, "body") && name != "small chunks" {
				written, _ := e.seen()
				b.g.Expect(written).To(BeNumerically("<", endlessBound))
			}
			b.g.Expect(b.handler.InFlight()).To(BeZero())
		})
	}
}

// Guards against load questions whose answers never end: the target gets no request, the
// request is refused as not run, and nothing stays behind.
func TestHealthAnswersWithoutEndAreGivenUp(t *testing.T) {
	for name, answer := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := startEndless(t, true, answer.start, answer.repeated)
			b := endlessBench(t, e)
			status, _, _ := b.call(http.MethodGet, "/unsafe/1", "")
			b.g.Eventually(func() int { _, open := e.seen(); return open }, endlessTime, "20ms").Should(BeZero(), "the connection is closed")
			written, _ := e.seen()
			b.g.Expect(written).To(BeNumerically("<", endlessBound))
			b.g.Expect(status).To(Equal(http.StatusServiceUnavailable))
			e.mu.Lock()
			defer e.mu.Unlock()
			b.g.Expect(e.requests).To(BeZero())
		})
	}
}
