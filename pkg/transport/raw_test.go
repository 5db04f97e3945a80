package transport

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

// connHandler handles the n-th connection of a rawTarget, counted from 1.
type connHandler func(t *rawTarget, c *rawConn, n int)

// rawTarget is a target over plain TCP that counts the requests it was given.
type rawTarget struct {
	listener   net.Listener
	accepted   atomic.Int32
	executions atomic.Int32
	stalled    chan struct{} // receives when a script stalls
	ended      context.Context
	handlers   sync.WaitGroup
}

type rawConn struct {
	net.Conn
	reader *bufio.Reader
}

func startRawTarget(t *testing.T, handle connHandler) *rawTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	target := &rawTarget{listener: listener, stalled: make(chan struct{}, 16)}
	ended, end := context.WithCancel(context.Background())
	target.ended = ended
	target.handlers.Go(func() { target.accept(handle) })
	t.Cleanup(func() {
		end()
		_ = listener.Close()
		target.handlers.Wait()
	})
	return target
}

func (t *rawTarget) accept(handle connHandler) {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		n := int(t.accepted.Add(1))
		t.handlers.Go(func() {
			defer c.Close()
			defer context.AfterFunc(t.ended, func() { _ = c.Close() })()
			handle(t, &rawConn{Conn: c, reader: bufio.NewReader(c)}, n)
		})
	}
}

// stall reports that the script waits and returns when the test ends.
func (t *rawTarget) stall() {
	t.stalled <- struct{}{}
	<-t.ended.Done()
}

func (t *rawTarget) address() string { return t.listener.Addr().String() }

// readRequestHeader reads a request's headers, counts the execution and returns the request's id.
func (t *rawTarget) readRequestHeader(c *rawConn) (string, bool) {
	id, first := "", true
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			return "", false
		}
		if first {
			t.executions.Add(1)
			first = false
		}
		if strings.HasPrefix(line, headerRequestID) {
			id = strings.TrimSpace(line[len(headerRequestID)+1:])
		}
		if line == "\r\n" {
			return id, true
		}
	}
}

func (c *rawConn) write(text string) { _, _ = io.WriteString(c, text) }

// responseWithBody is a whole answer whose body is id.
func responseWithBody(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
}

func newRequest(ctx context.Context, t *rawTarget, method, id string, body io.Reader) *http.Request {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+t.address()+"/x", body)
	if err != nil {
		panic(err)
	}
	request.Header.Set(headerRequestID, id)
	return request
}

// roundTrip sends a request and reads the whole answer.
func roundTrip(client *Client, request *http.Request) (string, error) {
	response, err := client.Do(request, 8)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}
