package transport

import (
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// readBufferBytes is the size of the Transport's read buffer. A read of exactly this size shows
// that the buffer is empty, so that nothing is left of earlier responses.
const readBufferBytes = 4096

// conn is a guarded connection. It does not send a request that was sealed or already sent on
// another connection, and it accepts no data from the target before a request was sent.
type conn struct {
	net.Conn
	raw     syscall.RawConn
	release func()

	mu           sync.Mutex
	stateChanged sync.Cond
	attempt      *attempt
	writeStarted bool // a byte of the attempt's request may have been sent
	reused       bool // an earlier attempt used the connection
	readerIdle   bool // the reader waits with an empty buffer
	closed       bool

	// Arguments and results of the read in progress; there is one reader.
	buffer  []byte
	n       int
	readErr error
	readFn  func(fd uintptr) bool
}

func newConn(inner net.Conn, release func()) (*conn, error) {
	syscallConn, ok := inner.(syscall.Conn)
	if !ok {
		return nil, errors.Errorf("no file descriptor in %T", inner)
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(err, "file descriptor")
	}
	c := &conn{Conn: inner, raw: raw, release: release, readerIdle: true}
	c.stateChanged.L = &c.mu
	c.readFn = c.readReady
	return c, nil
}

// assign assigns the connection to attempt a, whose request is sent next on it.
func (c *conn) assign(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reused = c.attempt != nil
	c.attempt = a
	c.writeStarted = false
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	err := c.prepareRead(len(p))
	if err != nil {
		return 0, err
	}
	c.buffer, c.n, c.readErr = p, 0, nil
	err = c.raw.Read(c.readFn)
	c.buffer = nil
	if err != nil {
		return 0, err
	}
	return c.n, c.readErr
}

// prepareRead notifies the writer if the reader's buffer is empty. Otherwise the reader is still
// parsing buffered data, which is an error before the current request was sent.
func (c *conn) prepareRead(size int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if size == readBufferBytes {
		c.readerIdle = true
		c.stateChanged.Broadcast()
		return nil
	}
	if c.attempt != nil && !c.writeStarted {
		// The reader parses what follows an earlier response in its buffer.
		return ErrUnsolicited
	}
	return nil
}

// readReady reads without blocking. The lock makes the read and the check that a request was sent
// atomic, so that the writer cannot run between them.
func (c *conn) readReady(fd uintptr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := retryInterrupted(func() (int, error) { return syscall.Read(int(fd), c.buffer) })
	if err == syscall.EAGAIN {
		return false
	}
	c.n, c.readErr = c.checkRead(n, err)
	return true
}

// checkRead converts the result of a read and rejects data that arrived before a request was sent.
func (c *conn) checkRead(n int, err error) (int, error) {
	if err != nil {
		return 0, errors.Wrap(err, "read")
	}
	if n == 0 {
		return 0, io.EOF
	}
	c.readerIdle = false
	if !c.writeStarted {
		return 0, ErrUnsolicited
	}
	return n, nil
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	a, err := c.beginWrite()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	a.endWrite(n)
	return n, err
}

// beginWrite waits until the reader has consumed all earlier responses and claims the attempt for
// writing.
func (c *conn) beginWrite() (*attempt, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.attempt
	if a == nil {
		return nil, ErrSealed
	}
	if c.writeStarted {
		return a, c.claimWrite(a)
	}
	for !c.readerIdle && !c.closed {
		c.stateChanged.Wait()
	}
	if c.closed {
		return nil, net.ErrClosed
	}
	err := c.checkIdle()
	if err != nil {
		return nil, err
	}
	if a.state.Load() == stateWritten {
		return nil, ErrResend
	}
	err = c.claimWrite(a)
	if err != nil {
		return nil, err
	}
	c.writeStarted = true
	return a, nil
}

func (c *conn) claimWrite(a *attempt) error {
	if !a.startWrite() {
		return ErrSealed
	}
	return nil
}

// checkIdle returns an error if the kernel already holds data or an end of stream on a reused
// connection.
func (c *conn) checkIdle() error {
	if !c.reused {
		return nil
	}
	var n int
	var peekErr error
	err := c.raw.Control(func(fd uintptr) {
		var first [1]byte
		n, peekErr = retryInterrupted(func() (int, error) {
			got, _, err := syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			return got, err
		})
	})
	switch {
	case err != nil:
		return err
	case peekErr == syscall.EAGAIN:
		return nil
	case peekErr != nil || n == 0:
		return ErrStale
	default:
		return ErrUnsolicited
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	wasOpen := !c.closed
	c.closed = true
	c.stateChanged.Broadcast()
	c.mu.Unlock()
	if wasOpen {
		c.release()
	}
	return c.Conn.Close()
}

// closeIfBound closes the connection if a is the last attempt that was assigned to it.
func (c *conn) closeIfBound(a *attempt) {
	c.mu.Lock()
	isBound := c.attempt == a
	c.mu.Unlock()
	if isBound {
		_ = c.Close()
	}
}

// retryInterrupted repeats a system call while it fails with EINTR.
func retryInterrupted(call func() (int, error)) (int, error) {
	for {
		n, err := call()
		if err != syscall.EINTR {
			return n, err
		}
	}
}
