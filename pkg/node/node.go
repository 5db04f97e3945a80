package node

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/fireflychute/fireflychute/pkg/control"
	"github.com/fireflychute/fireflychute/pkg/explain"
	"github.com/fireflychute/fireflychute/pkg/membership"
	"github.com/fireflychute/fireflychute/pkg/objectstore"
	"github.com/fireflychute/fireflychute/pkg/operator"
	"github.com/fireflychute/fireflychute/pkg/peer"
	"github.com/fireflychute/fireflychute/pkg/proxy"
	"github.com/fireflychute/fireflychute/pkg/settings"
	"github.com/fireflychute/fireflychute/pkg/snapshot"
	"github.com/fireflychute/fireflychute/pkg/targets"
	"github.com/fireflychute/fireflychute/pkg/telemetry"
	"github.com/fireflychute/fireflychute/pkg/tlsconfig"
)

const (
	// shutdownDelay is how long a stopping node keeps serving while it reports not ready, so that
	// the platform's load balancer stops sending to it first.
	shutdownDelay = 2 * time.Second
	// exportTimeout limits the final export of telemetry.
	exportTimeout = 3 * time.Second
)

// Node holds the components of one node.
type Node struct {
	settings   settings.Settings
	log        zerolog.Logger
	store      objectstore.Store
	telemetry  *telemetry.Telemetry
	peerClient *peer.Client
	peerServer *peer.Server
	controller *control.Controller
	backend    *control.Backend
	handler    *proxy.Handler
}

// Run starts a node and serves until SIGINT or SIGTERM, on which it stops and returns nil.
func Run(config settings.Settings, store objectstore.Store, log zerolog.Logger) error {
	if config.Node.MemoryLimitBytes > 0 {
		debug.SetMemoryLimit(int64(config.Node.MemoryLimitBytes))
	}
	n, err := newNode(config, store, log)
	if err != nil {
		return err
	}
	log.Info().Msg("node started")
	err = n.serve()
	log.Info().Msg("node stopped")
	return err
}

func newNode(config settings.Settings, store objectstore.Store, log zerolog.Logger) (*Node, error) {
	metrics, err := telemetry.New(context.Background(), telemetry.Options{
		OTLPEndpoint: config.Tracing.Endpoint, Node: config.Node.Name, SampleRatio: config.Tracing.SampleRatio,
	})
	if err != nil {
		return nil, errors.Wrap(err, "start telemetry")
	}
	serverTLS, clientTLS, err := tlsconfig.ForListener(config.Peers.TLS)
	if err != nil {
		return nil, errors.Wrap(err, "load TLS certificates of the peer listener")
	}
	n := &Node{
		settings: config, log: log, telemetry: metrics,
		store:      store,
		peerClient: peer.NewClient(config.Node.Name, clientTLS),
	}
	n.createComponents()
	limits := peer.Limits{
		IdleTime:       milliseconds(config.Peers.Limits.IdleTimeMs),
		MaxConnections: config.Peers.Limits.MaxConnections,
	}
	n.peerServer, err = peer.ListenWithLimits(config.Peers.Listen, serverTLS, limits, n.controller.Deliver)
	if err != nil {
		return nil, err
	}
	return n, metrics.Observe(n.observe)
}

// createComponents creates the controller, its operator backend and the handler for callers, which
// share the published snapshot.
func (n *Node) createComponents() {
	var published atomic.Pointer[snapshot.Snapshot]
	ring := &explain.Ring{}
	n.handler = proxy.NewHandler(proxy.Options{
		Published: &published, Node: n.settings.Node.Name, Deduplicator: deduplicator{n.store, n.settings.Node.Name},
		ParseReport: parseReport, Telemetry: n.telemetry, Explain: ring,
	})
	n.controller = control.New(control.Options{
		Self: membership.Member{
			Name: n.settings.Node.Name, Address: n.settings.Peers.Listen, DataCentre: n.settings.Node.DataCentre,
			Incarnation: uint64(time.Now().UnixNano()),
		},
		Seeds:                n.settings.Peers.Seeds,
		Relay:                n.settings.Peers.Relay,
		Store:                n.store,
		Peers:                n.peerClient,
		Published:            &published,
		OnPublish:            n.handler.NotifyWaiters,
		HealthCheckTransport: &http.Transport{DisableKeepAlives: true},
		Random:               newRandom(n.settings.Node.Name),
		Log:                  n.log,
	})
	n.backend = control.NewBackend(n.controller, ring)
}

func parseReport(value string) (targets.Report, bool) {
	report, err := targets.ParseReport(value)
	return report, err == nil
}

// newRandom returns a random source seeded differently for each node and process start.
func newRandom(name string) *rand.Rand {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	return rand.New(rand.NewPCG(hash.Sum64(), uint64(time.Now().UnixNano())))
}

// serve runs all components until one of them ends. They are interrupted in the order in which
// they were added, so that traffic ends before the node leaves the fleet.
func (n *Node) serve() error {
	operatorTLS, _, err := tlsconfig.ForListener(n.settings.Operators.TLS)
	if err != nil {
		return errors.Wrap(err, "load TLS certificates of the operator listener")
	}
	var group run.Group
	group.Add(run.SignalHandler(context.Background(), syscall.SIGINT, syscall.SIGTERM))
	n.addShutdownDelay(&group)
	n.addListener(&group, listener{
		address: n.settings.Callers.Listen, limits: n.settings.Callers.Limits, handler: n.handler,
	})
	if n.settings.Peers.Relay != "" {
		n.addListener(&group, listener{
			address: n.settings.Peers.Relay, limits: n.settings.Callers.Limits, handler: n.handler.Relayed(),
		})
	}
	n.addListener(&group, listener{
		address: n.settings.Operators.Listen, limits: n.settings.Operators.Limits, tls: operatorTLS,
		handler: operator.NewServer(operator.Options{
			Store: n.store, Backend: n.backend, OnCommit: n.controller.Committed, Metrics: n.telemetry.Handler(),
			MaxBodyBytes: int64(n.settings.Operators.Limits.MaxBodyBytes),
		}),
	})
	n.addControl(&group)
	n.addPeers(&group)
	err = group.Run()
	ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
	defer cancel()
	_ = n.telemetry.Close(ctx)
	if errors.Is(err, run.ErrSignal) {
		return nil
	}
	return err
}

// addShutdownDelay makes a stopping node report not ready for shutdownDelay before its listeners
// close.
func (n *Node) addShutdownDelay(group *run.Group) {
	stopped := make(chan struct{})
	group.Add(func() error {
		<-stopped
		return nil
	}, func(error) {
		n.backend.Drain()
		n.handler.Drain()
		time.Sleep(shutdownDelay)
		close(stopped)
	})
}

func (n *Node) addControl(group *run.Group) {
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	group.Add(func() error {
		defer close(stopped)
		return n.controller.Run(ctx)
	}, func(error) {
		cancel()
		<-stopped
	})
}

func (n *Node) addPeers(group *run.Group) {
	stopped := make(chan struct{})
	group.Add(func() error {
		<-stopped
		return nil
	}, func(error) {
		n.peerClient.Close()
		_ = n.peerServer.Close()
		close(stopped)
	})
}
