package node

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/fireflychute/fireflychute/pkg/control"
	"github.com/fireflychute/fireflychute/pkg/explain"
	"github.com/fireflychute/fireflychute/pkg/membership"
	"github.com/fireflychute/fireflychute/pkg/operator"
	"github.com/fireflychute/fireflychute/pkg/peer"
	"github.com/fireflychute/fireflychute/pkg/platform"
	"github.com/fireflychute/fireflychute/pkg/proxy"
	"github.com/fireflychute/fireflychute/pkg/settings"
	"github.com/fireflychute/fireflychute/pkg/snapshot"
)

const (
	readHeaderTime = 5 * time.Second
	// drainTime bounds waiting for requests in flight at a planned stop.
	drainTime = 30 * time.Second
	// noticeTime is how long a stopping node serves on while not ready, so that
	// the platform's balancer takes it out first.
	noticeTime = 2 * time.Second
)

// Run serves until a signal ends the process. The error of a planned stop is nil.
func Run(config settings.Settings, log zerolog.Logger) error {
	var published atomic.Pointer[snapshot.Snapshot]
	ring := &explain.Ring{}
	store := platform.NewClient(config.Platform.URL, nil)
	client := peer.NewClient(config.Node.Name, nil)
	controller := control.New(control.Options{
		Self: membership.Member{
			Name: config.Node.Name, Address: config.Peers.Listen, DataCentre: config.Node.DataCentre,
			Incarnation: uint64(time.Now().UnixNano()),
		},
		Seeds:     config.Peers.Seeds,
		Store:     store,
		Peers:     client,
		Published: &published,
		Probe:     &http.Transport{DisableKeepAlives: true},
		Random:    newRandom(config.Node.Name),
		Log:       log,
	})
	backend := control.NewBackend(controller, ring)
	var group run.Group
	group.Add(run.SignalHandler(context.Background(), syscall.SIGINT, syscall.SIGTERM))
	// The interrupts run in this order: traffic ends before the node leaves the fleet.
	addNotice(&group, backend)
	addServer(&group, config.Callers.Listen, proxy.NewHandler(&published, http.DefaultTransport))
	addServer(&group, config.Operators.Listen, operator.NewServer(operator.Options{Store: store, Backend: backend}))
	addControl(&group, controller)
	err := addPeers(&group, config.Peers.Listen, controller, client)
	if err != nil {
		return err
	}
	log.Info().Msg("node started")
	err = group.Run()
	log.Info().Msg("node stopped")
	if errors.Is(err, run.ErrSignal) {
		return nil
	}
	return err
}

// newRandom returns a source that differs between nodes and starts.
func newRandom(name string) *rand.Rand {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	return rand.New(rand.NewPCG(hash.Sum64(), uint64(time.Now().UnixNano())))
}

func addNotice(group *run.Group, backend *control.Backend) {
	stopped := make(chan struct{})
	group.Add(func() error {
		<-stopped
		return nil
	}, func(error) {
		backend.Drain()
		time.Sleep(noticeTime)
		close(stopped)
	})
}

func addServer(group *run.Group, address string, handler http.Handler) {
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: readHeaderTime}
	group.Add(func() error {
		err := server.ListenAndServe()
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return errors.Wrapf(err, "listen on %s", address)
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), drainTime)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
}

func addControl(group *run.Group, controller *control.Controller) {
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	group.Add(func() error {
		defer close(stopped)
		return controller.Run(ctx)
	}, func(error) {
		cancel()
		<-stopped
	})
}

func addPeers(group *run.Group, address string, controller *control.Controller, client *peer.Client) error {
	server, err := peer.Listen(address, nil, controller.Deliver)
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	group.Add(func() error {
		<-ended
		return nil
	}, func(error) {
		client.Close()
		_ = server.Close()
		close(ended)
	})
	return nil
}
