package edge

import (
	"context"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/fireflychute/fireflychute/pkg/callerconn"
	"github.com/fireflychute/fireflychute/pkg/experiment"
	"github.com/fireflychute/fireflychute/pkg/forward"
	"github.com/fireflychute/fireflychute/pkg/liblog"
	"github.com/fireflychute/fireflychute/pkg/peer"
	"github.com/fireflychute/fireflychute/pkg/quota"
	"github.com/fireflychute/fireflychute/pkg/telemetry"
	"github.com/fireflychute/fireflychute/pkg/topology"
	"github.com/fireflychute/fireflychute/pkg/transport"
)

const (
	// shutdownMargin is how long before SIGKILL a stopping node aborts requests that are
	// still running.
	shutdownMargin = 250 * time.Millisecond
	// idleConnTimeout is how long an idle connection to a target stays open.
	idleConnTimeout = 9 * time.Second
	// targetAckTimeout is how long data to a target may remain unacknowledged before the
	// connection counts as broken.
	targetAckTimeout = 3 * time.Second
	// Limits on caller connections. They are constants, since they also apply before a
	// configuration is loaded.
	readHeaderTimeout = 10 * time.Second
	callerIdleTimeout = 90 * time.Second
	maxHeaderBytes    = 64 << 10
	// softMemoryRatio is the part of the memory limit set as Go's soft limit, above which
	// garbage is collected more often.
	softMemoryRatio = 0.6
	// gcPercent is how much the heap may grow between collections, in per cent of the live
	// heap. The live heap is a few MB, so a collection costs little, and memory is scarcer
	// than CPU time.
	gcPercent = 50
)

// Options are the settings and interfaces that the platform's adapter provides.
type Options struct {
	Settings Settings
	Store    Store
	Codec    Codec
	Protocol forward.Protocol
	// ReadyPath is the path of the platform's readiness check.
	ReadyPath string
	// Disabled are the mechanisms that an ablation experiment switches off.
	Disabled experiment.Disabled
	// Reload re-reads the settings.
	Reload func() (Settings, error)
	Log    zerolog.Logger
}

// Process holds the components of a running node on the users' platform.
type Process struct {
	options   Options
	log       zerolog.Logger
	published atomic.Pointer[topology.Topology]
	handler   *forward.Handler
	control   *controller
	client    *transport.Client
	limits    *quota.Table
	units     *quota.Allocator
	owners    quotaPeers
	draining  atomic.Bool
	meter     *meter
}

// Run serves until a signal ends the process. It returns nil after a planned stop.
func Run(options Options) error {
	if options.Settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(options.Settings.MemoryBytes) * softMemoryRatio))
	}
	debug.SetGCPercent(gcPercent)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	p, err := New(options)
	if err != nil {
		return err
	}
	return p.Serve(signals)
}

// Serve runs the node until a signal other than SIGHUP arrives.
func (p *Process) Serve(signals <-chan os.Signal) error {
	options := &p.options
	p.log.Info().Str("dataCentre", options.Settings.DataCentre).Str("callers", options.Settings.CallerListen).Msg("node started")
	err := p.serve(signals)
	p.log.Info().Err(err).Msg("node stopped")
	return err
}

// New returns a node that does not serve yet.
func New(options Options) (*Process, error) {
	p := &Process{options: options, log: options.Log}
	metrics, err := telemetry.New(context.Background(), telemetry.Options{Node: options.Settings.Node})
	if err != nil {
		return nil, errors.Wrap(err, "start telemetry")
	}
	p.meter = &meter{telemetry: metrics}
	settings := &options.Settings
	p.client = transport.NewClientWith(transport.Options{IdleTimeout: idleConnTimeout, UserTimeout: targetAckTimeout})
	requests := newRequestLog(options.Log)
	p.limits = quota.NewTable(requests.LimitChanged)
	p.owners = quotaPeers{peer.NewClient(settings.Node, nil)}
	p.units = quota.NewAllocator(settings.Node, p.limits, p.owners)
	p.control = newController(options, &p.published, p.client, p.limits, p.units)
	p.handler = forward.NewHandler(forward.Options{
		Published: &p.published, Client: p.client, Protocol: options.Protocol, Limits: p.limits, Units: p.units,
		Observer:   observers{requests, p.control.outcomes, p.meter},
		RetryRatio: settings.RetryRatio * retryBudgetShare, RetryExtra: settings.RetryExtra * retryBudgetShare,
		RetryWindow: settings.RetryWindow, Disabled: options.Disabled,
		Random: rand.NewPCG(rand.Uint64(), rand.Uint64()),
	})
	return p, metrics.Observe(p.observe)
}

// retryBudgetShare is the part of the fleet's retry budget that the nodes use. The rest
// covers nodes that are not counted yet and windows that differ between nodes.
const retryBudgetShare = 0.8

func (p *Process) serve(signals <-chan os.Signal) error {
	var group run.Group
	p.addSignals(&group, signals)
	p.addControl(&group)
	callers := &http.Server{
		Handler: p.handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnContext: callerconn.ConnContext, ErrorLog: log.New(liblog.New(p.log), "", 0),
	}
	err := p.addServer(&group, p.options.Settings.CallerListen, callers, p.drain)
	if err != nil {
		return err
	}
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+p.options.ReadyPath, p.serveReady)
	err = p.addServer(&group, p.options.Settings.ReadyListen, &http.Server{Handler: ready, ReadHeaderTimeout: readHeaderTimeout}, closeNow)
	if err != nil {
		return err
	}
	if p.options.Settings.MetricsListen != "" {
		err = p.addServer(&group, p.options.Settings.MetricsListen, p.metricsServer(), closeNow)
		if err != nil {
			// The node serves requests even if metrics are unavailable.
			p.log.Warn().Err(err).Msg("metrics listener failed; serving without metrics")
		}
	}
	err = group.Run()
	if errors.Is(err, errStopped) {
		return nil
	}
	return err
}

var errStopped = errors.New("stopped by a signal")

// addSignals stops the group on any signal but SIGHUP, which reloads the settings.
func (p *Process) addSignals(group *run.Group, signals <-chan os.Signal) {
	ended := make(chan struct{})
	group.Add(func() error {
		for {
			select {
			case received := <-signals:
				if received == syscall.SIGHUP {
					p.reload()
					continue
				}
				p.log.Info().Str("signal", received.String()).Msg("planned stop begins")
				return errStopped
			case <-ended:
				return nil
			}
		}
	}, func(error) { close(ended) })
}

// reload re-reads the settings. Only a change of the seed nodes takes effect; any other
// change needs a restart.
func (p *Process) reload() {
	settings, err := p.options.Reload()
	if err != nil {
		p.log.Error().Err(err).Msg("settings could not be reloaded; the previous ones stay in force")
		return
	}
	p.control.setSeeds(settings.Seeds)
	p.log.Info().Strs("seeds", settings.Seeds).Msg("settings reloaded")
}

func (p *Process) addControl(group *run.Group) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error {
		defer p.owners.client.Close()
		go p.control.maintainLimits(ctx, p.handler.VerifyLimits)
		return p.control.run(ctx)
	}, func(error) {
		// The node still serves requests while it drains, so the control goroutine runs until
		// draining is over.
		go func() {
			<-p.control.drained
			cancel()
		}()
	})
}

// addServer serves HTTP on an address until the group ends. stop shuts the server down.
func (p *Process) addServer(group *run.Group, address string, server *http.Server, stop func(*http.Server)) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	stopped := make(chan struct{})
	group.Add(func() error {
		err := server.Serve(callerconn.Listener(listener))
		if errors.Is(err, http.ErrServerClosed) {
			<-stopped
			return nil
		}
		return errors.Wrapf(err, "serve on %s", address)
	}, func(error) {
		stop(server)
		close(stopped)
	})
	return nil
}

func closeNow(server *http.Server) { _ = server.Close() }

// drain shuts down the callers' server. The node first reports that it is not ready, keeps
// serving until the platform's balancer has removed it, then rejects new requests and waits
// for those in flight.
func (p *Process) drain(server *http.Server) {
	defer close(p.control.drained)
	startedAt := time.Now()
	p.draining.Store(true)
	p.handler.Stop()
	time.Sleep(p.options.Settings.DrainDelay)
	p.handler.RejectNew()
	ctx, cancel := context.WithDeadline(context.Background(), startedAt.Add(p.options.Settings.GracePeriod-shutdownMargin))
	defer cancel()
	err := server.Shutdown(ctx)
	if err != nil {
		p.log.Warn().Err(err).Int("inFlight", p.handler.InFlight()).Msg("requests still in flight at the end of the grace period are aborted")
	}
}

func (p *Process) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !p.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (p *Process) isReady() bool { return !p.draining.Load() && p.published.Load() != nil }
