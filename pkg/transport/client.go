package transport

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds one dial. A target that accepts no connection within it is
	// as good as refusing, and the request can still be tried elsewhere.
	dialTimeout = time.Second
	// defaultIdleTimeout is how long an unused connection is kept.
	defaultIdleTimeout = 90 * time.Second
	// maxResponseHeaderBytes bounds the headers of an answer.
	maxResponseHeaderBytes = 256 << 10
)

// Names of headers with a meaning for the transport.
const (
	headerRequestID      = "Fireflychute-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	// headerIdempotencyKeyLower is headerKey in a form that the Transport does not look up;
	// with the canonical form it would send the request again by itself.
	headerIdempotencyKeyLower = "idempotency-key"
)

// Client sends requests to targets.
type Client struct {
	dial  func(ctx context.Context, network, address string) (net.Conn, error)
	peers sync.Map // address -> *peer

	idleTimeout time.Duration
}

// peer is the connections to one target.
type peer struct {
	transport *http.Transport
	limit     atomic.Int64
	open      atomic.Int64
}

// Options are the times of a client's connections; 0 takes the default.
type Options struct {
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
	// UserTimeout is how long a connection may stay without an acknowledgement by the
	// target before it counts as broken; 0 leaves that to the system.
	UserTimeout time.Duration
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return NewClientWith(Options{})
}

// NewClientWith is NewClient with other times than the default.
func NewClientWith(options Options) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if options.UserTimeout > 0 {
		dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: options.UserTimeout, Interval: time.Second, Count: 2}
		dialer.Control = setUserTimeout(options.UserTimeout)
	}
	if options.IdleTimeout == 0 {
		options.IdleTimeout = defaultIdleTimeout
	}
	return &Client{dial: dialer.DialContext, idleTimeout: options.IdleTimeout}
}

// setUserTimeout makes a connection break when data stays unacknowledged for a time. A
// target behind a partition would otherwise hold it for minutes.
func setUserTimeout(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optErr
	}
}

// Remove closes the idle connections to a target that is no longer known.
func (c *Client) Remove(address string) {
	value, ok := c.peers.LoadAndDelete(address)
	if ok {
		value.(*peer).transport.CloseIdleConnections()
	}
}

// Connections returns the number of open connections to a target.
func (c *Client) Connections(address string) int {
	value, ok := c.peers.Load(address)
	if !ok {
		return 0
	}
	return int(value.(*peer).open.Load())
}

func (c *Client) peer(address string) *peer {
	value, ok := c.peers.Load(address)
	if ok {
		return value.(*peer)
	}
	value, _ = c.peers.LoadOrStore(address, c.newPeer())
	return value.(*peer)
}

func (c *Client) newPeer() *peer {
	p := &peer{}
	p.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return p.connect(ctx, c.dial, network, address)
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    1 << 20, // the limit is enforced at the dial
		IdleConnTimeout:        c.idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ReadBufferSize:         readBufferBytes,
	}
	return p
}

func (p *peer) connect(ctx context.Context, dial func(context.Context, string, string) (net.Conn, error), network, address string) (net.Conn, error) {
	if p.open.Add(1) > p.limit.Load() {
		p.open.Add(-1)
		return nil, ErrConnectionLimit
	}
	inner, err := dial(ctx, network, address)
	if err != nil {
		p.open.Add(-1)
		return nil, err
	}
	tracked, err := newConn(inner, func() { p.open.Add(-1) })
	if err != nil {
		p.open.Add(-1)
		_ = inner.Close()
		return nil, err
	}
	return tracked, nil
}

// Do sends the request to the target at request.URL.Host, once, over at most
// limit connections. The request must have no RequestURI and may be changed. An
// error is always an *Error. The body of the answer must be closed.
func (c *Client) Do(request *http.Request, limit int) (*http.Response, error) {
	address := request.URL.Host
	p := c.peer(address)
	if p.limit.Load() != int64(limit) {
		p.limit.Store(int64(limit))
	}
	a := &attempt{}
	response, err := p.transport.RoundTrip(prepareRequest(request, a))
	if err != nil {
		return nil, a.newError(address, err)
	}
	err = a.validateResponse(request, response)
	if err != nil {
		_ = response.Body.Close()
		return nil, a.newError(address, err)
	}
	response.Body = &responseBody{inner: response.Body, attempt: a, peer: address, complete: response.Body == http.NoBody}
	return response, nil
}

// prepareRequest hooks the attempt in and keeps the Transport from sending again.
func prepareRequest(request *http.Request, a *attempt) *http.Request {
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			tracked, ok := info.Conn.(*conn)
			if ok {
				a.bindConn(tracked)
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) { a.requestWritten.Store(info.Err == nil) },
	}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	request.GetBody = nil
	if values, ok := request.Header[headerIdempotencyKey]; ok {
		delete(request.Header, headerIdempotencyKey)
		request.Header[headerIdempotencyKeyLower] = values
	}
	if request.Body == nil || request.Body == http.NoBody {
		preventReplay(request)
	}
	return request
}

// preventReplay gives a request without a body an empty one. The Transport resends
// GET, HEAD, OPTIONS and TRACE without a body by itself. The identity encoding
// keeps it from probing the body and from sending it as chunks.
func preventReplay(request *http.Request) {
	switch request.Method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		request.Body = io.NopCloser(bytes.NewReader(nil))
		request.ContentLength = 0
		request.TransferEncoding = []string{"identity"}
	}
}

// validateResponse refuses an answer that came before the request was sent or that names
// another request.
func (a *attempt) validateResponse(request *http.Request, response *http.Response) error {
	if a.seal() {
		return ErrUnsolicited
	}
	responseID := response.Header.Get(headerRequestID)
	if responseID != "" && responseID != request.Header.Get(headerRequestID) {
		a.closeConn()
		return ErrResponseMismatch
	}
	return nil
}

// newError ends the attempt and classifies the error.
func (a *attempt) newError(address string, err error) *Error {
	failure := &Error{Step: a.failedStep(), Peer: address, Err: err}
	failure.NotRun = a.seal()
	failure.Refused = errors.Is(err, syscall.ECONNREFUSED)
	a.closeConn()
	return failure
}

func (a *attempt) failedStep() Step {
	switch {
	case a.conn.Load() == nil:
		return StepDial
	case !a.requestWritten.Load():
		return StepWrite
	default:
		return StepReadHeader
	}
}

// responseBody closes the connection of an answer that was not read to its end.
type responseBody struct {
	inner    io.ReadCloser
	attempt  *attempt
	peer     string
	complete bool
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	if err == io.EOF {
		b.complete = true
		return n, err
	}
	if err != nil {
		return n, &Error{Step: StepReadBody, Peer: b.peer, Err: err}
	}
	return n, nil
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	if !b.complete {
		b.attempt.closeConn()
	}
	return b.inner.Close()
}
