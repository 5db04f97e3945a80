package edge

import (
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fireflychute/fireflychute/pkg/forward"
	"github.com/fireflychute/fireflychute/pkg/quota"
	"github.com/fireflychute/fireflychute/pkg/retry"
	"github.com/fireflychute/fireflychute/pkg/telemetry"
)

// rejectionLabels maps reasons of rejections to metric labels. Other reasons contain
// addresses and would create one series each.
var rejectionLabels = map[string]string{
	forward.ReasonStopping:        "stopping",
	forward.ReasonNoConfiguration: "no_configuration",
	forward.ReasonNoID:            "no_id",
	forward.ReasonNoRoute:         "no_route",
	forward.ReasonTooLarge:        "too_large",
	forward.ReasonBodyTimeout:     "body_timeout",
	forward.ReasonBodyBroken:      "body_broken",
	forward.ReasonNoTarget:        "no_target",
	forward.ReasonNoRoom:          "no_room",
	forward.ReasonNoProbeResult:   "not_answering",
	forward.ReasonTimeout:         "timeout",
	forward.ReasonAttempts:        "attempts",
	forward.ReasonBudget:          "budget",
	forward.ReasonTargetRefused:   "target_refused",
	forward.ReasonBackingOff:      "backing_off",
	forward.ReasonLimited:         "limited",
}

// meter records requests and load probes in the node's metrics.
type meter struct {
	telemetry     *telemetry.Telemetry
	probes        atomic.Int64
	probeFailures atomic.Int64
	// limited counts what was sent to targets of which the node knew a limit, by carrier.
	limited       [carriers]atomic.Int64
	limitsIgnored atomic.Int64
}

// carrier is what brings a request to a target.
type carrier int

const (
	firstAttempt carrier = iota
	retriedAttempt
	hedgedAttempt
	loadProbe
	carriers
)

var carrierLabels = [carriers]string{"request", "retry", "hedge", "probe"}

// SlowAttempt implements forward.Observer.
func (m *meter) SlowAttempt(*forward.Record, *forward.Attempt) {}

// Probed implements forward.Observer.
func (m *meter) Probed(probe forward.Probe) {
	m.probes.Add(1)
	if probe.Failed {
		m.probeFailures.Add(1)
	}
	if probe.Limited {
		m.limited[loadProbe].Add(1)
	}
}

// AvailabilityChanged implements forward.Observer.
func (m *meter) AvailabilityChanged(string, forward.Availability) {}

// LimitIgnored implements forward.Observer.
func (m *meter) LimitIgnored(string, quota.Statement) { m.limitsIgnored.Add(1) }

// carrierOf returns the carrier of the attempt at an index of a request.
func carrierOf(attempt *forward.Attempt, index int) carrier {
	switch {
	case attempt.Hedge:
		return hedgedAttempt
	case index > 0:
		return retriedAttempt
	default:
		return firstAttempt
	}
}

// Ended implements forward.Observer.
func (m *meter) Ended(record *forward.Record) {
	route := m.telemetry.Route(record.Route)
	route.RecordResponse(record.Status, time.Since(record.Began))
	for i := range record.Attempts {
		route.Count(telemetry.Attempts)
		if i > 0 {
			route.Count(telemetry.Retries)
		}
		if record.Attempts[i].Limited {
			m.limited[carrierOf(&record.Attempts[i], i)].Add(1)
		}
	}
	if record.Outcome == retry.NotRun {
		label, ok := rejectionLabels[record.Reason]
		if !ok {
			label = "target"
		}
		route.CountRejection(label)
	}
}

// controlStats holds values that the control goroutine exports to metrics.
type controlStats struct {
	revision, fleetSize          atomic.Int64
	watching                     atomic.Bool
	storeSeenAt                  atomic.Int64 // Unix milliseconds
	storeCalls, storeCallsFailed atomic.Int64
	published, blocked           atomic.Int64
	storeRestores                atomic.Int64
}

// observe records the values that are not updated by requests. It runs at each collection
// of metrics.
func (p *Process) observe(record telemetry.Record) {
	s := &p.control.stats
	record(telemetry.InFlight, int64(p.handler.InFlight()))
	record(telemetry.Ready, boolValue(p.isReady()))
	record(telemetry.Revision, s.revision.Load())
	record(telemetry.FleetSize, s.fleetSize.Load())
	record(telemetry.Watching, boolValue(s.watching.Load()))
	record(telemetry.StoreAge, time.Now().UnixMilli()-s.storeSeenAt.Load())
	record(telemetry.PlatformCalls, s.storeCalls.Load())
	record(telemetry.PlatformFailures, s.storeCallsFailed.Load())
	record(telemetry.PlatformRestores, s.storeRestores.Load())
	record(telemetry.Snapshots, s.published.Load())
	record(telemetry.VersionsBlocked, s.blocked.Load())
	record(telemetry.LoadProbes, p.meter.probes.Load())
	record(telemetry.LoadProbeFailures, p.meter.probeFailures.Load())
	for carrier, label := range carrierLabels {
		record(telemetry.LimitedSends, p.meter.limited[carrier].Load(), "carrier", label)
	}
	units := &p.units.Counts
	record(telemetry.LimitUnits, units.Own.Load(), "result", "own")
	record(telemetry.LimitUnits, units.Granted.Load(), "result", "granted")
	record(telemetry.LimitUnits, units.Refused.Load(), "result", "refused")
	record(telemetry.LimitUnits, units.Failed.Load(), "result", "failed")
	record(telemetry.LimitsIgnored, p.meter.limitsIgnored.Load())
	record(telemetry.LimitedTargets, int64(p.limits.LimitedCount()))
	record(telemetry.PeerDropped, int64(p.control.peers.Dropped()))
	p.observeTargets(record)
}

// observeTargets records the number of targets by service and state.
func (p *Process) observeTargets(record telemetry.Record) {
	view := p.published.Load()
	if view == nil {
		return
	}
	now := time.Now()
	for name, service := range view.Services {
		counts := map[string]int64{"Warm": 0, "Cold": 0, "Leaving": 0}
		for _, target := range slices.Concat(service.Main.All(), service.Canary.All()) {
			observed := target.Observed.View(now)
			switch {
			case observed.Leaving:
				counts["Leaving"]++
			case observed.Cold:
				counts["Cold"]++
			default:
				counts["Warm"]++
			}
		}
		for state, count := range counts {
			record(telemetry.Targets, count, "service", name, "state", state)
		}
	}
}

func boolValue(set bool) int64 {
	if set {
		return 1
	}
	return 0
}

func (p *Process) metricsServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", p.meter.telemetry.Handler())
	return &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
}
