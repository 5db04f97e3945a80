package peer

import (
	"context"
	"crypto/tls"
	"sync"
	"time"
)

const (
	// queueLength bounds the frames that wait for one peer. A node sends about 10
	// messages a second over all peers, so a longer queue holds only outdated ones.
	queueLength = 64
	// linkIdleTimeout removes the state of a peer to which nothing was sent.
	linkIdleTimeout = time.Minute
	dialTimeout     = 2 * time.Second
)

// Client sends messages to peers by address.
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

// NewClient returns a client that states the given name as sender. Without a TLS
// configuration it sends in plain text.
func NewClient(self string, config *tls.Config) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{self: self, tls: config, ctx: ctx, cancel: cancel, links: map[string]*link{}}
}

// Send queues a message and returns at once. The message is dropped and counted
// when the peer's queue is full, and lost when the connection cannot be made.
func (c *Client) Send(to string, body Message) {
	_ = c.enqueue(to, body, nil)
}

// Call sends a message and waits for the answer until the context ends. It fails
// with an Error that wraps ErrQueueFull, ErrFrameTooLarge, ErrClosed,
// ErrDisconnected or the cause of a failed dial.
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

// Dropped returns how many messages were dropped because a queue was full.
func (c *Client) Dropped() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropped
}

// Traffic returns the bytes on the connections of the client.
func (c *Client) Traffic() *Traffic {
	return &c.traffic
}

// Close ends all connections and waits for their goroutines.
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

// removeIdle removes a link if nothing was queued meanwhile.
func (c *Client) removeIdle(l *link) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(l.queue) > 0 {
		return false
	}
	delete(c.links, l.address)
	return true
}

// Disconnect ends the connection to a peer, for example when it has become silent.
// Calls that wait on it fail with ErrDisconnected; the next message dials anew.
func (c *Client) Disconnect(to string) {
	c.mu.Lock()
	l := c.links[to]
	c.mu.Unlock()
	if l != nil {
		l.abort()
	}
}
