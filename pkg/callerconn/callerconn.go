// Package callerconn detects requests with a Content-Length on callers' connections. net/http drops
// the length of a request that also uses chunked encoding, so a handler cannot see that the two
// contradict each other. A proxy in front of the node may have used the length, and then treats
// what follows the chunks as part of the same request (request smuggling).
package callerconn

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// contentLengthName is the name of the Content-Length header in lower case.
var contentLengthName = []byte("content-length")

// conn records whether the name of the Content-Length header occurred in the data read from it.
type conn struct {
	net.Conn
	declared atomic.Bool
	// tail is the end of the data read so far, in which the name may begin. Only the reader uses it.
	tail []byte
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.declared.Load() {
		c.scan(p[:n])
	}
	return n, err
}

// scan searches the data just read, preceded by the tail, for the header name in any case.
func (c *conn) scan(read []byte) {
	window := append(c.tail, bytes.ToLower(read)...)
	if bytes.Contains(window, contentLengthName) {
		c.declared.Store(true)
		c.tail = nil
		return
	}
	c.tail = append([]byte{}, window[max(0, len(window)-len(contentLengthName)):]...)
}

type listener struct{ net.Listener }

// Listener returns a listener whose connections are scanned for declared lengths.
func Listener(inner net.Listener) net.Listener { return listener{inner} }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted}, nil
}

type contextKey struct{}

// ConnContext attaches the connection to the context of its requests, for http.Server.ConnContext.
func ConnContext(ctx context.Context, accepted net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, accepted)
}

// MustClose reports whether a request must be the last one on its connection: it uses chunked
// encoding, and a request on the connection may have declared a length. On a connection that is not
// scanned, such as one with TLS, any request may have. The header's name in a body counts as well.
func MustClose(request *http.Request) bool {
	if len(request.TransferEncoding) == 0 {
		return false
	}
	tracked, ok := request.Context().Value(contextKey{}).(*conn)
	return !ok || tracked.declared.Load()
}
