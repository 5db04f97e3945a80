package metastore

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/objectstore"
	"github.com/fireflychute/fireflychute/platform"
)

var errUnreachable = errors.New("the platform cannot be reached")

// Transport carries calls to a Server without a network, so that tests can run under
// fake time. Reachable decides whether the caller reaches the server now; nil means
// always.
type Transport struct {
	Server    *Server
	Reachable func() bool
}

// NewDirectClient returns the real client over a Transport.
func NewDirectClient(server *Server, reachable func() bool) objectstore.Store {
	return platform.NewObjects("http://direct", Transport{Server: server, Reachable: reachable})
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if !t.isReachable() {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errUnreachable}
	}
	recorder := httptest.NewRecorder()
	served := make(chan error, 1)
	go func() { served <- t.serve(recorder, r) }()
	select {
	case err := <-served:
		if err == nil && !t.isReachable() {
			err = errUnreachable
		}
		if err != nil {
			return nil, err
		}
		return recorder.Result(), nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// serve answers a call; it fails where the server drops the connection.
func (t Transport) serve(w http.ResponseWriter, r *http.Request) (err error) {
	defer func() {
		cause := recover()
		switch {
		case cause == http.ErrAbortHandler: //nolint:errorlint // the value itself is thrown
			err = io.ErrUnexpectedEOF
		case cause != nil:
			panic(cause)
		}
	}()
	t.Server.ServeHTTP(w, r)
	return nil
}

func (t Transport) isReachable() bool {
	return t.Reachable == nil || t.Reachable()
}
