package proxy

import (
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

var errDetached = errors.New("try has ended")

// attemptBody lends a caller's body to one try. After the try ended nothing more is
// read, so that the next try finds the body as the last one left it.
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

// detach ends the loan. It tells whether a part of the body may be gone, and the
// error of reading from the caller.
func (b *attemptBody) detach() (wasRead bool, readErr error) {
	if b == nil {
		return false, nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.detached = true
	return b.wasRead, b.readErr
}

// flushAndCloseBody sends the answer and closes the body, which reads a short rest of it,
// so that the connection can be used again. net/http closes it after the handler
// too, but in full duplex it then reads from the connection at two places and
// panics.
func flushAndCloseBody(w http.ResponseWriter, body io.Closer) {
	_ = http.NewResponseController(w).Flush()
	if body.Close() != nil {
		// The rest did not arrive in time. It must not be taken for the next request.
		panic(http.ErrAbortHandler)
	}
}
