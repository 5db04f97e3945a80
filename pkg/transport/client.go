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
	// dialTime bounds one dial. A target that accepts no connection within it is
	// as good as refusing, and the request can still be tried elsewhere.
	dialTime = time.Second
	// idleTime is how long an unused connection is kept.
	idleTime = 90 * time.Second
	// maxAnswerHeaderBytes bounds the headers of an answer.
	maxAnswerHeaderBytes = 256 << 10
)

// Names of headers with a meaning for the transport.
const (
	headerRequestID = "Fireflychute-Request-Id"
	headerKey       = "Idempotency-Key"
	// headerKeyRaw is headerKey in a form that the Transport does not look up;
	// with the canonical form it would send the request again by itself.
	headerKeyRaw = "idempotency-key"
)

// Client sends requests to targets.
type Client struct {
	dial  func(ctx context.Context, network, address string) (net.Conn, error)
	peers sync.Map // address -> *peer

	idleTime time.Duration
}

// peer is the connections to one target.
type peer struct {
	transport *http.Transport
	limit     atomic.Int64
	open      atomic.Int64
}

// Options are the times of a client's connections; 0 takes the default.
type Options struct {
	// IdleTime is how long an unused connection is kept.
	IdleTime time.Duration
	// Silence is how long a connection may stay without an acknowledgement by the
	// target before it counts as broken; 0 leaves that to the system.
	Silence time.Duration
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return NewClientWith(Options{})
}

// NewClientWith is NewClient with other times than the default.
func NewClientWith(options Options) *Client {
	dialer := &net.Dialer{Timeout: dialTime}
	if options.Silence > 0 {
		dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: options.Silence, Interval: time.Second, Count: 2}
		dialer.Control = userTimeout(options.Silence)
	}
	if options.IdleTime == 0 {
		options.IdleTime = idleTime
	}
	return &Client{dial: dialer.DialContext, idleTime: options.IdleTime}
}

// userTimeout makes a connection break when data stays unacknowledged for a time. A
// target behind a partition would otherwise hold it for minutes.
func userTimeout(limit time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(fd uintptr) {
			failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failure
	}
}

// Forget closes the idle connections to a target that is no longer known.
func (c *Client) Forget(address string) {
	known, ok := c.peers.LoadAndDelete(address)
	if ok {
		known.(*peer).transport.CloseIdleConnections()
	}
}

// Connections returns the number of open connections to a target.
func (c *Client) Connections(address string) int {
	known, ok := c.peers.Load(address)
	if !ok {
		return 0
	}
	return int(known.(*peer).open.Load())
}

func (c *Client) peer(address string) *peer {
	known, ok := c.peers.Load(address)
	if ok {
		return known.(*peer)
	}
	known, _ = c.peers.LoadOrStore(address, c.newPeer())
	return known.(*peer)
}

func (c *Client) newPeer() *peer {
	p := &peer{}
	p.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return p.connect(ctx, c.dial, network, address)
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    1 << 20, // the limit is enforced at the dial
		IdleConnTimeout:        c.idleTime,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
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
	guarded, err := newConn(inner, func() { p.open.Add(-1) })
	if err != nil {
		p.open.Add(-1)
		_ = inner.Close()
		return nil, err
	}
	return guarded, nil
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
	answer, err := p.transport.RoundTrip(prepare(request, a))
	if err != nil {
		return nil, a.fail(address, err)
	}
	err = a.check(request, answer)
	if err != nil {
		_ = answer.Body.Close()
		return nil, a.fail(address, err)
	}
	answer.Body = &answerBody{inner: answer.Body, attempt: a, peer: address, ended: answer.Body == http.NoBody}
	return answer, nil
}

// prepare hooks the attempt in and keeps the Transport from sending again.
func prepare(request *http.Request, a *attempt) *http.Request {
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			guarded, ok := info.Conn.(*conn)
			if ok {
				a.take(guarded)
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) { a.wrote.Store(info.Err == nil) },
	}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	request.GetBody = nil
	if values, ok := request.Header[headerKey]; ok {
		delete(request.Header, headerKey)
		request.Header[headerKeyRaw] = values
	}
	if request.Body == nil || request.Body == http.NoBody {
		hideReplay(request)
	}
	return request
}

// hideReplay gives a request without a body an empty one. The Transport resends
// GET, HEAD, OPTIONS and TRACE without a body by itself. The identity encoding
// keeps it from probing the body and from sending it as chunks.
func hideReplay(request *http.Request) {
	switch request.Method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		request.Body = io.NopCloser(bytes.NewReader(nil))
		request.ContentLength = 0
		request.TransferEncoding = []string{"identity"}
	}
}

// check refuses an answer that came before the request was sent or that names
// another request.
func (a *attempt) check(request *http.Request, answer *http.Response) error {
	if a.seal() {
		return ErrUnasked
	}
	named := answer.Header.Get(headerRequestID)
	if named != "" && named != request.Header.Get(headerRequestID) {
		a.closeConn()
		return ErrWrongAnswer
	}
	return nil
}

// fail ends the attempt and classifies the error.
func (a *attempt) fail(address string, err error) *Error {
	failure := &Error{Step: a.step(), Peer: address, Err: err}
	failure.NotRun = a.seal()
	failure.Refused = errors.Is(err, syscall.ECONNREFUSED)
	a.closeConn()
	return failure
}

func (a *attempt) step() Step {
	switch {
	case a.conn.Load() == nil:
		return StepDial
	case !a.wrote.Load():
		return StepWrite
	default:
		return StepReadHeader
	}
}

// answerBody closes the connection of an answer that was not read to its end.
type answerBody struct {
	inner   io.ReadCloser
	attempt *attempt
	peer    string
	ended   bool
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	if err == io.EOF {
		b.ended = true
		return n, err
	}
	if err != nil {
		return n, &Error{Step: StepReadBody, Peer: b.peer, Err: err}
	}
	return n, nil
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	if !b.ended {
		b.attempt.closeConn()
	}
	return b.inner.Close()
}
