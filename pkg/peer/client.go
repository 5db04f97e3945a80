package peer

import (
	"context"
	"crypto/tls"
	"sync"
	"time"
)

const (
	// queueLength bounds the frames queued for one peer. A node sends about 10 messages per second
	// to all peers together, so a longer queue would only hold outdated messages.
	queueLength = 64
	// linkIdleTimeout is the time without sent messages after which a peer's link is removed.
	linkIdleTimeout = time.Minute
	dialTimeout     = 2 * time.Second
)

// Client sends messages to peers by address. It is safe for concurrent use.
type Client struct {
	self     string
	tls      *tls.Config
	ctx      context.Context
	cancel   context.CancelFunc
	mu       sync.Mutex
	links    map[string]*link
	closed   bool
	lastCall uint64
	dropped  uint64
	traffic  Traffic
	done     sync.WaitGroup
}

// NewClient returns a client that sends messages under the given node name. Without a TLS
// configuration it sends in plain text.
func NewClient(self string, config *tls.Config) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{self: self, tls: config, ctx: ctx, cancel: cancel, links: map[string]*link{}}
}

// Send queues a message and returns without waiting. The message is dropped and counted if the
// peer's queue is full, and lost if no connection can be established.
func (c *Client) Send(to string, body Message) {
	_ = c.enqueue(to, body, nil)
}

// Call sends a message and waits for the reply until the context is done. It fails with an Error
// that wraps ErrQueueFull, ErrFrameTooLarge, ErrClosed, ErrDisconnected, the context's error or the
// cause of a failed dial.
func (c *Client) Call(ctx context.Context, to string, body Message) (Message, error) {
	reply := make(chan callResult, 1)
	if err := c.enqueue(to, body, reply); err != nil {
		return Message{}, wrapError("send", to, err)
	}
	select {
	case <-ctx.Done():
		return Message{}, wrapError("call", to, ctx.Err())
	case r := <-reply:
		return r.message, wrapError("call", to, r.err)
	}
}

// Dropped returns the number of messages dropped because a queue was full.
func (c *Client) Dropped() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropped
}

// Traffic returns the byte counters of the client's connections.
func (c *Client) Traffic() *Traffic {
	return &c.traffic
}

// Close closes all connections and waits for their goroutines.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.cancel()
	c.mu.Unlock()
	c.done.Wait()
}

func (c *Client) enqueue(to string, body Message, reply chan callResult) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return ErrClosed
	}
	body.From, body.Call = c.self, 0
	if reply != nil {
		c.lastCall++
		body.Call = c.lastCall
	}
	frame, err := encodeFrame(&body)
	if err != nil {
		return err
	}
	l := c.links[to]
	if l == nil {
		l = &link{client: c, address: to, queue: make(chan queuedFrame, queueLength)}
		c.links[to] = l
		c.done.Add(1)
		go l.run()
	}
	select {
	case l.queue <- queuedFrame{frame, body.Call, reply}:
		return nil
	default:
		c.dropped++
		return ErrQueueFull
	}
}

// removeIdle removes an idle link unless a frame has been queued in the meantime, and reports
// whether it did.
func (c *Client) removeIdle(l *link) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(l.queue) > 0 {
		return false
	}
	delete(c.links, l.address)
	return true
}

// Disconnect closes the connection to a peer, for example because the peer no longer responds.
// Pending calls fail with ErrDisconnected; the next message dials again.
func (c *Client) Disconnect(to string) {
	c.mu.Lock()
	l := c.links[to]
	c.mu.Unlock()
	if l != nil {
		l.abort()
	}
}
