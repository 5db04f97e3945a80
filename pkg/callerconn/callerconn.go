// Package callerconn watches what callers send on a connection for declared lengths. net/http
// drops the length of a request that is sent in chunks as well, so a handler cannot see that the
// two contradict each other. Someone in front of the node may have gone by the length, and takes
// what follows the chunks for a part of the same request.
package callerconn

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// contentLengthName is the name of the header in lower case.
var contentLengthName = []byte("content-length")

// conn notes whether a length was declared in what was read from it.
type conn struct {
	net.Conn
	declared atomic.Bool
	// tail is the end of what was read, in which the name may begin. It belongs to the reader.
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

// Listener returns a listener whose connections are watched.
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

// ConnContext is for http.Server.ConnContext.
func ConnContext(ctx context.Context, accepted net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, accepted)
}

// MustClose tells whether a request has to be the last one of its connection: it is sent in
// chunks, and a request on the connection may have declared a length. On a connection that is not
// watched, such as one with TLS, any may have. A body that has the header's name in it counts, too.
func MustClose(request *http.Request) bool {
	if len(request.TransferEncoding) == 0 {
		return false
	}
	tracked, ok := request.Context().Value(contextKey{}).(*conn)
	return !ok || tracked.declared.Load()
}
