// Command fireflychute runs a node of the load balancer.
package main

import (
	"context"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/fireflychute/fireflychute/pkg/control"
	"github.com/fireflychute/fireflychute/pkg/operator"
	"github.com/fireflychute/fireflychute/pkg/platform"
	"github.com/fireflychute/fireflychute/pkg/proxy"
	"github.com/fireflychute/fireflychute/pkg/settings"
	"github.com/fireflychute/fireflychute/pkg/snapshot"
)

const (
	readHeaderTime = 5 * time.Second
	drainTime      = 30 * time.Second
)

type options struct {
	Settings string `long:"settings" required:"true" description:"settings file in TOML"`
}

func main() {
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	var opts options
	_, err := flags.Parse(&opts)
	if err != nil {
		os.Exit(2)
	}
	config, err := settings.Load(opts.Settings)
	if err != nil {
		log.Error().Err(err).Msg("settings refused")
		os.Exit(2)
	}
	err = serve(config, log.With().Str("node", config.Node.Name).Logger())
	var signal run.SignalError
	if err != nil && !errors.As(err, &signal) {
		log.Error().Err(err).Msg("node ended")
		os.Exit(1)
	}
}

func serve(config settings.Settings, log zerolog.Logger) error {
	var published atomic.Pointer[snapshot.Snapshot]
	store := platform.NewClient(config.Platform.URL, nil)
	controller := control.New(config.Node.DataCentre, store, &published, log)
	var group run.Group
	group.Add(run.SignalHandler(context.Background(), syscall.SIGINT, syscall.SIGTERM))
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return controller.Run(ctx) }, func(error) { cancel() })
	addServer(&group, config.Callers.Listen, proxy.NewHandler(proxy.Options{Published: &published, Node: config.Node.Name}))
	addServer(&group, config.Operators.Listen, operator.NewServer(store, &published))
	log.Info().Msg("node started")
	return group.Run()
}

func addServer(group *run.Group, address string, handler http.Handler) {
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: readHeaderTime}
	group.Add(server.ListenAndServe, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), drainTime)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
}
