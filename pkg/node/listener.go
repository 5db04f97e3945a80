package node

import (
	"context"
	"crypto/tls"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"
	"golang.org/x/net/netutil"

	"github.com/fireflychute/fireflychute/pkg/callerconn"
	"github.com/fireflychute/fireflychute/pkg/liblog"
	"github.com/fireflychute/fireflychute/pkg/settings"
)

// listener is the configuration of one HTTP listener of the node.
type listener struct {
	address string
	limits  settings.Limits
	tls     *tls.Config
	handler http.Handler
}

func milliseconds(count int) time.Duration {
	return time.Duration(count) * time.Millisecond
}

// addListener adds an HTTP server with graceful shutdown: requests in flight may complete within
// the drain time.
func (n *Node) addListener(group *run.Group, l listener) {
	server := &http.Server{
		Handler:           l.handler,
		ReadHeaderTimeout: milliseconds(l.limits.HeaderTimeMs),
		ReadTimeout:       milliseconds(l.limits.BodyTimeMs),
		IdleTimeout:       milliseconds(l.limits.IdleTimeMs),
		MaxHeaderBytes:    l.limits.MaxHeaderBytes,
		ConnContext:       callerconn.ConnContext,
		ErrorLog:          log.New(liblog.New(n.log.With().Str("address", l.address).Logger()), "", 0),
	}
	stopped := make(chan struct{})
	group.Add(func() error {
		err := l.serve(server)
		if errors.Is(err, http.ErrServerClosed) {
			// Serve returns when Shutdown begins; wait until Shutdown has drained the requests.
			<-stopped
			return nil
		}
		return errors.Wrapf(err, "listen on %s", l.address)
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), milliseconds(n.settings.Node.DrainTimeMs))
		defer cancel()
		err := server.Shutdown(ctx)
		if err != nil {
			n.log.Warn().Err(err).Str("address", l.address).Msg("requests still in flight at the end of the drain time are aborted when the process exits")
		}
		close(stopped)
	})
}

func (l listener) serve(server *http.Server) error {
	inner, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	limited := netutil.LimitListener(inner, l.limits.MaxConnections)
	if l.tls == nil {
		return server.Serve(callerconn.Listener(limited))
	}
	return server.Serve(tls.NewListener(limited, l.tls))
}
