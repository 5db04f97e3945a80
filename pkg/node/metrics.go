package node

import (
	"github.com/fireflychute/fireflychute/pkg/control"
	"github.com/fireflychute/fireflychute/pkg/targets"
	"github.com/fireflychute/fireflychute/pkg/telemetry"
)

// observe records the metrics that do not belong to a single request. It runs when metrics are
// collected, so that requests do not bear the cost.
func (n *Node) observe(record telemetry.Record) {
	observeTraffic(record, n.handler.QueueLengths(), n.handler.InFlight())
	observeState(record, n.controller.State(), n.backend.Readiness().Ready)
	observeCounters(record, n.controller.Counters())
	observeTargets(record, n.controller.Entries())
	sent, received := n.peerClient.Traffic(), n.peerServer.Traffic()
	record(telemetry.PeerSent, int64(sent.Sent()+received.Sent()))
	record(telemetry.PeerReceived, int64(sent.Received()+received.Received()))
	record(telemetry.PeerDropped, int64(n.peerClient.Dropped()))
}

func observeTraffic(record telemetry.Record, waiting map[string]int, inFlight int) {
	record(telemetry.InFlight, int64(inFlight))
	for service, count := range waiting {
		record(telemetry.QueueLength, int64(count), "service", service)
	}
}

func observeState(record telemetry.Record, state control.State, ready bool) {
	record(telemetry.Revision, int64(state.Revision))
	record(telemetry.FleetSize, int64(state.FleetSize))
	record(telemetry.Ready, boolToInt(ready))
	record(telemetry.Isolated, boolToInt(state.Isolated))
	record(telemetry.FactsDropped, int64(state.FactsDropped))
	for _, name := range state.Leases {
		record(telemetry.Leases, 1, "lease", name)
	}
	for address, count := range state.HealthChecks {
		record(telemetry.HealthChecks, int64(count), "target", address)
	}
}

func observeCounters(record telemetry.Record, counters *control.Counters) {
	record(telemetry.PlatformCalls, int64(counters.PlatformCalls()))
	record(telemetry.PlatformFailures, int64(counters.PlatformFailures()))
	record(telemetry.Snapshots, int64(counters.Snapshots()))
	record(telemetry.VersionsBlocked, int64(counters.Blocks()))
}

// observeTargets counts targets by service and state. Levels are recorded for cold targets only,
// so that a full-size fleet does not create a series per target.
func observeTargets(record telemetry.Record, entries []targets.Entry) {
	type group struct{ service, state string }
	counts := map[group]int64{}
	for _, entry := range entries {
		counts[group{entry.Service, entry.State()}]++
		if entry.Cold && !entry.Leaving {
			record(telemetry.TargetLevel, int64(entry.Units), "target", entry.Address)
		}
	}
	for g, count := range counts {
		record(telemetry.Targets, count, "service", g.service, "state", g.state)
	}
}

func boolToInt(on bool) int64 {
	if on {
		return 1
	}
	return 0
}
