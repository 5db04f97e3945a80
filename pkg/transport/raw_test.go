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

// script handles the n-th connection of a rawTarget, counted from 1.
type script func(t *rawTarget, c *rawConn, n int)

// rawTarget is a target over plain TCP that counts the requests it was given.
type rawTarget struct {
	listener   net.Listener
	accepted   atomic.Int32
	executions atomic.Int32
	stalled    chan struct{} // receives when a script stalls
	ended      context.Context
	scripts    sync.WaitGroup
}

type rawConn struct {
	net.Conn
	in *bufio.Reader
}

func startRaw(t *testing.T, run script) *rawTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	target := &rawTarget{listener: listener, stalled: make(chan struct{}, 16)}
	ended, end := context.WithCancel(context.Background())
	target.ended = ended
	target.scripts.Go(func() { target.accept(run) })
	t.Cleanup(func() {
		end()
		_ = listener.Close()
		target.scripts.Wait()
	})
	return target
}

func (t *rawTarget) accept(run script) {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		n := int(t.accepted.Add(1))
		t.scripts.Go(func() {
			defer c.Close()
			defer context.AfterFunc(t.ended, func() { _ = c.Close() })()
			run(t, &rawConn{Conn: c, in: bufio.NewReader(c)}, n)
		})
	}
}

// stall reports that the script waits and returns when the test ends.
func (t *rawTarget) stall() {
	t.stalled <- struct{}{}
	<-t.ended.Done()
}

func (t *rawTarget) address() string { return t.listener.Addr().String() }

// head reads a request's headers, counts the execution and returns the request's id.
func (t *rawTarget) head(c *rawConn) (string, bool) {
	id, first := "", true
	for {
		line, err := c.in.ReadString('\n')
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

func (c *rawConn) say(text string) { _, _ = io.WriteString(c, text) }

// answerTo is a whole answer whose body is id.
func answerTo(id string) string {
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

// call sends a request and reads the whole answer.
func call(client *Client, request *http.Request) (string, error) {
	answer, err := client.Do(request, 8)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return string(body), err
}
