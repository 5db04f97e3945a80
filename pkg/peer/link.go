package peer

import (
	"bufio"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

type result struct {
	message Message
	err     error
}

type queued struct {
	frame  []byte
	call   uint64
	answer chan result // nil for a message without an answer
}

// link is the queue and the connection to one peer. Its goroutine dials and writes.
type link struct {
	client *Client
	to     string
	queue  chan queued
	active *connection
	// dialed is the same connection for abort, which runs on other goroutines.
	dialed atomic.Pointer[connection]
}

// connection is one TCP connection with the calls that await answers on it.
type connection struct {
	net.Conn
	traffic *Traffic
	mu      sync.Mutex
	ended   bool
	waiting map[uint64]chan result
}

func (l *link) run() {
	defer l.client.done.Done()
	defer l.disconnect()
	idle := time.NewTimer(linkIdle)
	defer idle.Stop()
	for {
		select {
		case <-l.client.ctx.Done():
			l.failQueue()
			return
		case <-idle.C:
			if l.client.retire(l) {
				return
			}
		case item := <-l.queue:
			l.send(item)
		}
		idle.Reset(linkIdle)
	}
}

// send writes a frame. A frame that fails on a reused connection is not repeated:
// the peer may have received it.
func (l *link) send(item queued) {
	if l.active != nil && l.active.hasEnded() {
		l.disconnect()
	}
	if l.active == nil {
		if err := l.connect(); err != nil {
			item.finish(result{err: err})
			return
		}
	}
	if !l.active.await(item) {
		item.finish(result{err: ErrDisconnected})
		return
	}
	if err := write(l.active, item.frame); err != nil {
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
		raw, err = (&tls.Dialer{NetDialer: dialer, Config: l.client.tls}).DialContext(l.client.ctx, "tcp", l.to)
	} else {
		raw, err = dialer.DialContext(l.client.ctx, "tcp", l.to)
	}
	if err != nil {
		return failed("dial", l.to, err)
	}
	l.active = &connection{Conn: raw, traffic: &l.client.traffic, waiting: map[uint64]chan result{}}
	l.dialed.Store(l.active)
	l.client.done.Add(1)
	go func(c *connection) {
		defer l.client.done.Done()
		c.read()
	}(l.active)
	return nil
}

// abort closes the connection; its reader then ends it.
func (l *link) abort() {
	dialed := l.dialed.Load()
	if dialed != nil {
		_ = dialed.Close()
	}
}

func (l *link) disconnect() {
	if l.active != nil {
		l.active.end(ErrDisconnected)
		l.active = nil
	}
}

// failQueue ends the calls that were queued when the client was closed.
func (l *link) failQueue() {
	for {
		select {
		case item := <-l.queue:
			item.finish(result{err: ErrClosed})
		default:
			return
		}
	}
}

func (q queued) finish(r result) {
	if q.answer != nil {
		q.answer <- r
	}
}

// read passes answers to their calls until the connection ends. Without the read
// loop, a connection closed by the peer would be noticed only at the second write.
func (c *connection) read() {
	reader := bufio.NewReader(c.traffic.reader(c))
	for {
		received, err := readFrame(reader)
		if err != nil {
			c.end(err)
			return
		}
		c.mu.Lock()
		answer := c.waiting[received.Call]
		delete(c.waiting, received.Call)
		c.mu.Unlock()
		if answer != nil {
			answer <- result{message: received}
		}
	}
}

func (c *connection) await(item queued) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if item.answer != nil && !c.ended {
		c.waiting[item.call] = item.answer
	}
	return !c.ended
}

func (c *connection) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// end closes the connection and fails the calls that wait on it.
func (c *connection) end(err error) {
	_ = c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	for call, answer := range c.waiting {
		answer <- result{err: failed("read", c.RemoteAddr().String(), disconnected{err})}
		delete(c.waiting, call)
	}
}

// disconnected matches ErrDisconnected and keeps the cause.
type disconnected struct{ cause error }

func (d disconnected) Error() string {
	return ErrDisconnected.Error() + ": " + d.cause.Error()
}

func (d disconnected) Unwrap() []error {
	return []error{ErrDisconnected, d.cause}
}
