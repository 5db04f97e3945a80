package peer

import (
	"bufio"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// callResult is the outcome of a call.
type callResult struct {
	message Message
	err     error
}

// queuedFrame is an encoded message in the send queue of a link.
type queuedFrame struct {
	frame []byte
	call  uint64
	reply chan callResult // nil for a one-way message
}

// link owns the send queue and the connection of one peer. Its goroutine dials and writes.
type link struct {
	client  *Client
	address string
	queue   chan queuedFrame
	active  *connection
	// dialed is the most recent connection, for abort, which runs on other goroutines.
	dialed atomic.Pointer[connection]
}

// connection is one TCP or TLS connection with the calls that wait for replies on it.
type connection struct {
	net.Conn
	traffic      *Traffic
	mu           sync.Mutex
	closed       bool
	pendingCalls map[uint64]chan callResult
}

// run sends queued frames until the client is closed or the link has been idle for linkIdleTimeout.
func (l *link) run() {
	defer l.client.done.Done()
	defer l.disconnect()
	idle := time.NewTimer(linkIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-l.client.ctx.Done():
			l.failQueuedCalls()
			return
		case <-idle.C:
			if l.client.removeIdle(l) {
				return
			}
		case item := <-l.queue:
			l.send(item)
		}
		idle.Reset(linkIdleTimeout)
	}
}

// send dials if there is no open connection, and writes a frame. A frame that fails on a reused
// connection is not retried, because the peer may have received it.
func (l *link) send(item queuedFrame) {
	if l.active != nil && l.active.isClosed() {
		l.disconnect()
	}
	if l.active == nil {
		if err := l.connect(); err != nil {
			item.complete(callResult{err: err})
			return
		}
	}
	if !l.active.register(item) {
		item.complete(callResult{err: ErrDisconnected})
		return
	}
	if err := writeFrame(l.active, item.frame); err != nil {
		l.disconnect()
		return
	}
	l.client.traffic.sent.Add(uint64(len(item.frame)))
}

func (l *link) connect() error {
	var raw net.Conn
	var err error
	dialer := &net.Dialer{Timeout: dialTimeout}
	if l.client.tls != nil {
		raw, err = (&tls.Dialer{NetDialer: dialer, Config: l.client.tls}).DialContext(l.client.ctx, "tcp", l.address)
	} else {
		raw, err = dialer.DialContext(l.client.ctx, "tcp", l.address)
	}
	if err != nil {
		return wrapError("dial", l.address, err)
	}
	l.active = &connection{Conn: raw, traffic: &l.client.traffic, pendingCalls: map[uint64]chan callResult{}}
	l.dialed.Store(l.active)
	l.client.done.Add(1)
	go func(c *connection) {
		defer l.client.done.Done()
		c.readReplies()
	}(l.active)
	return nil
}

// abort closes the TCP connection; readReplies then fails the pending calls.
func (l *link) abort() {
	dialed := l.dialed.Load()
	if dialed != nil {
		_ = dialed.Close()
	}
}

func (l *link) disconnect() {
	if l.active != nil {
		l.active.closeWithError(ErrDisconnected)
		l.active = nil
	}
}

// failQueuedCalls fails the calls that were queued when the client was closed.
func (l *link) failQueuedCalls() {
	for {
		select {
		case item := <-l.queue:
			item.complete(callResult{err: ErrClosed})
		default:
			return
		}
	}
}

func (q queuedFrame) complete(r callResult) {
	if q.reply != nil {
		q.reply <- r
	}
}

// readReplies delivers replies to their calls until the connection is closed. Without this read
// loop, a connection closed by the peer would be detected only by the second write.
func (c *connection) readReplies() {
	reader := bufio.NewReader(c.traffic.countReads(c))
	for {
		received, err := readFrame(reader)
		if err != nil {
			c.closeWithError(err)
			return
		}
		c.mu.Lock()
		reply := c.pendingCalls[received.Call]
		delete(c.pendingCalls, received.Call)
		c.mu.Unlock()
		if reply != nil {
			reply <- callResult{message: received}
		}
	}
}

// register adds a call to the pending calls. It returns false if the connection is closed.
func (c *connection) register(item queuedFrame) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if item.reply != nil && !c.closed {
		c.pendingCalls[item.call] = item.reply
	}
	return !c.closed
}

func (c *connection) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// closeWithError closes the connection and fails its pending calls.
func (c *connection) closeWithError(err error) {
	_ = c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for call, reply := range c.pendingCalls {
		reply <- callResult{err: wrapError("read", c.RemoteAddr().String(), disconnectedError{err})}
		delete(c.pendingCalls, call)
	}
}

// disconnectedError wraps both ErrDisconnected and the cause.
type disconnectedError struct{ cause error }

func (d disconnectedError) Error() string {
	return ErrDisconnected.Error() + ": " + d.cause.Error()
}

func (d disconnectedError) Unwrap() []error {
	return []error{ErrDisconnected, d.cause}
}
