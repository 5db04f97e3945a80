package edge

import (
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fireflychute/fireflychute/pkg/forward"
	"github.com/fireflychute/fireflychute/pkg/retry"
	"github.com/fireflychute/fireflychute/pkg/telemetry"
)

// refusalLabels are the labels of refusals. Other reasons hold addresses, which would
// make a series each.
var refusalLabels = map[string]string{
	forward.ReasonStopping:        "stopping",
	forward.ReasonNoConfiguration: "no_configuration",
	forward.ReasonNoID:            "no_id",
	forward.ReasonNoRoute:         "no_route",
	forward.ReasonTooLarge:        "too_large",
	forward.ReasonBodyTimeout:     "body_timeout",
	forward.ReasonBodyBroken:      "body_broken",
	forward.ReasonNoTarget:        "no_target",
	forward.ReasonNoRoom:          "no_room",
	forward.ReasonNotAnswering:    "not_answering",
	forward.ReasonTimeout:         "timeout",
	forward.ReasonAttempts:        "attempts",
	forward.ReasonBudget:          "budget",
	forward.ReasonTargetRefused:   "target_refused",
	forward.ReasonBackingOff:      "backing_off",
}

// meter counts what became of requests.
type meter struct {
	telemetry *telemetry.Telemetry
	questions atomic.Int64
	failures  atomic.Int64
}

// Late implements forward.Observer.
func (m *meter) Late(*forward.Record, *forward.Try) {}

// Asked implements forward.Observer.
func (m *meter) Asked(failed bool) {
	m.questions.Add(1)
	if failed {
		m.failures.Add(1)
	}
}

// Noticed implements forward.Observer.
func (m *meter) Noticed(string, forward.Notice) {}

// Ended implements forward.Observer.
func (m *meter) Ended(record *forward.Record) {
	route := m.telemetry.Route(record.Route)
	route.RecordResponse(record.Status, time.Since(record.Began))
	for i := range record.Tries {
		route.Count(telemetry.Attempts)
		if i > 0 {
			route.Count(telemetry.Retries)
		}
	}
	if record.Outcome == retry.NotRun {
		label, ok := refusalLabels[record.Reason]
		if !ok {
			label = "target"
		}
		route.CountRejection(label)
	}
}

// status is what the control goroutine shows to metrics.
type status struct {
	revision, fleet    atomic.Int64
	watching           atomic.Bool
	heard              atomic.Int64 // Unix milliseconds
	calls, callsFailed atomic.Int64
	published, blocked atomic.Int64
}

// observe reads what changes with no request. It runs when metrics are collected.
func (p *Process) observe(record telemetry.Record) {
	s := &p.control.status
	record(telemetry.InFlight, int64(p.handler.InFlight()))
	record(telemetry.Ready, flag(p.isReady()))
	record(telemetry.Revision, s.revision.Load())
	record(telemetry.FleetSize, s.fleet.Load())
	record(telemetry.Watching, flag(s.watching.Load()))
	record(telemetry.StoreAge, time.Now().UnixMilli()-s.heard.Load())
	record(telemetry.PlatformCalls, s.calls.Load())
	record(telemetry.PlatformFailures, s.callsFailed.Load())
	record(telemetry.Snapshots, s.published.Load())
	record(telemetry.VersionsBlocked, s.blocked.Load())
	record(telemetry.LoadProbes, p.meter.questions.Load())
	record(telemetry.LoadProbeFailures, p.meter.failures.Load())
	record(telemetry.PeerDropped, int64(p.control.peers.Dropped()))
	p.observeTargets(record)
}

// observeTargets counts targets by service and state.
func (p *Process) observeTargets(record telemetry.Record) {
	view := p.published.Load()
	if view == nil {
		return
	}
	now := time.Now()
	for name, service := range view.Services {
		counts := map[string]int64{"Warm": 0, "Cold": 0, "Leaving": 0}
		for _, target := range slices.Concat(service.Main.All(), service.Canary.All()) {
			seen := target.Observed.View(now)
			switch {
			case seen.Leaving:
				counts["Leaving"]++
			case seen.Cold:
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

func flag(set bool) int64 {
	if set {
		return 1
	}
	return 0
}

func (p *Process) metricsServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", p.meter.telemetry.Handler())
	return &http.Server{Handler: mux, ReadHeaderTimeout: defaultHeaderTime}
}
