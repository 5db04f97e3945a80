package proxy

import (
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

var errDetached = errors.New("request body read after its attempt ended")

// attemptBody gives one attempt access to the caller's body. After the attempt has ended, nothing
// more is read, so that the next attempt finds the body as the last one left it.
type attemptBody struct {
	inner    io.Reader
	mu       sync.Mutex
	detached bool
	wasRead  bool
	readErr  error
}

// Read implements io.Reader.
func (b *attemptBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	if b.detached {
		b.mu.Unlock()
		return 0, errDetached
	}
	b.wasRead = true
	b.mu.Unlock()
	n, err := b.inner.Read(p)
	if err != nil && err != io.EOF {
		b.mu.Lock()
		b.readErr = err
		b.mu.Unlock()
	}
	return n, err
}

// Close implements io.Closer. The server closes the caller's body.
func (b *attemptBody) Close() error { return nil }

// detach ends the access. It reports whether part of the body may have been consumed, and returns
// the error of reading from the caller, if any.
func (b *attemptBody) detach() (wasRead bool, readErr error) {
	if b == nil {
		return false, nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.detached = true
	return b.wasRead, b.readErr
}

// flushAndCloseBody sends the response and closes the request body. Closing reads a short remainder
// of the body, so that the connection can be reused. net/http also closes the body after the
// handler, but in full duplex it then reads from the connection in two places and panics.
func flushAndCloseBody(w http.ResponseWriter, body io.Closer) {
	_ = http.NewResponseController(w).Flush()
	if body.Close() != nil {
		// The remainder did not arrive in time. It must not be parsed as the next request.
		panic(http.ErrAbortHandler)
	}
}
