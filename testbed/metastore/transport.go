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

var errUnreachable = errors.New("metadata store unreachable")

// Transport passes requests to a Server without a network, so that tests can run under fake time.
// Reachable reports whether the caller can currently reach the server; nil means always.
type Transport struct {
	Server    *Server
	Reachable func() bool
}

// NewDirectClient returns the production client over a Transport.
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

// serve handles a request. It fails if the server aborts the connection.
func (t Transport) serve(w http.ResponseWriter, r *http.Request) (err error) {
	defer func() {
		cause := recover()
		switch {
		case cause == http.ErrAbortHandler: //nolint:errorlint // the panic value is the error itself, not wrapped
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
