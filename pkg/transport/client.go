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
	// dialTimeout limits one dial. A target that accepts no connection in this time is as unusable
	// as one that refuses it. No byte of the request was sent, so it can still be sent to another
	// target.
	dialTimeout = time.Second
	// defaultIdleTimeout is how long an idle connection is kept open.
	defaultIdleTimeout = 90 * time.Second
	// maxResponseHeaderBytes limits the headers of a response.
	maxResponseHeaderBytes = 256 << 10
)

// Headers that this package reads or rewrites.
const (
	headerRequestID      = "Fireflychute-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	// headerIdempotencyKeyLower is headerIdempotencyKey in lower case, which the Transport does not
	// recognise. With the canonical form it would resend the request on its own.
	headerIdempotencyKeyLower = "idempotency-key"
)

// Client sends requests to targets, with a pool of connections for each.
type Client struct {
	dial  func(ctx context.Context, network, address string) (net.Conn, error)
	pools sync.Map // address -> *pool

	idleTimeout time.Duration
}

// pool is the connection pool of one target.
type pool struct {
	transport *http.Transport
	limit     atomic.Int64 // of open connections
	open      atomic.Int64
}

// Options configure the connections of a client.
type Options struct {
	// IdleTimeout is how long an idle connection is kept open; 0 means 90 s.
	IdleTimeout time.Duration
	// UserTimeout is how long a connection may go without an acknowledgement from the target before
	// it is considered broken; 0 leaves that to the operating system.
	UserTimeout time.Duration
}

// NewClient returns a client with default options.
func NewClient() *Client {
	return NewClientWith(Options{})
}

// NewClientWith returns a client with the given options.
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

// setUserTimeout returns a dial control function that sets TCP_USER_TIMEOUT, so that a connection
// breaks when data stays unacknowledged for timeout. Otherwise a target behind a network partition
// would keep it open for minutes.
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

// Remove drops the pool of a target that no longer exists and closes its idle connections.
func (c *Client) Remove(address string) {
	value, ok := c.pools.LoadAndDelete(address)
	if ok {
		value.(*pool).transport.CloseIdleConnections()
	}
}

// Connections returns the number of open connections to a target.
func (c *Client) Connections(address string) int {
	value, ok := c.pools.Load(address)
	if !ok {
		return 0
	}
	return int(value.(*pool).open.Load())
}

func (c *Client) pool(address string) *pool {
	value, ok := c.pools.Load(address)
	if ok {
		return value.(*pool)
	}
	value, _ = c.pools.LoadOrStore(address, c.newPool())
	return value.(*pool)
}

func (c *Client) newPool() *pool {
	p := &pool{}
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

func (p *pool) connect(ctx context.Context, dial func(context.Context, string, string) (net.Conn, error), network, address string) (net.Conn, error) {
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

// Do sends the request once to the target at request.URL.Host, to which it opens at most limit
// connections. The request must have no RequestURI and may be modified. An error is always an
// *Error. The caller must close the body of the response.
func (c *Client) Do(request *http.Request, limit int) (*http.Response, error) {
	address := request.URL.Host
	p := c.pool(address)
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
	response.Body = &responseBody{inner: response.Body, attempt: a, target: address, complete: response.Body == http.NoBody}
	return response, nil
}

// prepareRequest traces the request for the attempt and keeps the Transport from resending it.
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

// preventReplay gives a request without a body an empty one, because the Transport resends GET,
// HEAD, OPTIONS and TRACE requests without a body on its own. The identity encoding keeps it from
// probing the body and from using chunked encoding.
func preventReplay(request *http.Request) {
	switch request.Method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		request.Body = io.NopCloser(bytes.NewReader(nil))
		request.ContentLength = 0
		request.TransferEncoding = []string{"identity"}
	}
}

// validateResponse rejects a response that arrived before the request was sent or that carries the
// id of another request.
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

// newError ends the attempt, closes its connection and classifies the error.
func (a *attempt) newError(address string, err error) *Error {
	failure := &Error{Step: a.failedStep(), Target: address, Err: err}
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

// responseBody closes the connection if the response was not read to its end.
type responseBody struct {
	inner    io.ReadCloser
	attempt  *attempt
	target   string
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
		return n, &Error{Step: StepReadBody, Target: b.target, Err: err}
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
