package telemetry

import (
	"slices"
	"strings"
)

// Type is the type of a metric.
type Type string

// Types of metrics.
const (
	Counter   Type = "counter"
	Histogram Type = "histogram"
	// ObservedCounter and Gauge are read when metrics are collected, see Telemetry.Observe.
	ObservedCounter Type = "observed counter"
	Gauge           Type = "gauge"
)

// Metric describes one metric.
type Metric struct {
	Name        string
	Type        Type
	Unit        string
	Description string
	Labels      []string
}

// PrometheusName returns the name of the metric in the Prometheus format.
func (m Metric) PrometheusName() string {
	name := strings.ReplaceAll(m.Name, ".", "_") + unitSuffixes[m.Unit]
	if m.Type == Counter || m.Type == ObservedCounter {
		name += "_total"
	}
	return name
}

// unitSuffixes are the suffixes that the Prometheus exporter appends for each unit.
var unitSuffixes = map[string]string{"s": "_seconds", "ms": "_milliseconds", "By": "_bytes"}

// Names of the metrics.
const (
	Requests        = "fireflychute.requests"
	RequestDuration = "fireflychute.request.duration"
	Attempts        = "fireflychute.tries"
	Retries         = "fireflychute.retries"
	Rejections      = "fireflychute.refusals"
	QueueDuration   = "fireflychute.queue.duration"

	QueueLength       = "fireflychute.queue.length"
	InFlight          = "fireflychute.requests.in_flight"
	Revision          = "fireflychute.config.revision"
	FleetSize         = "fireflychute.fleet.size"
	Ready             = "fireflychute.node.ready"
	Isolated          = "fireflychute.node.isolated"
	Leases            = "fireflychute.leases.held"
	Targets           = "fireflychute.targets"
	TargetLevel       = "fireflychute.target.level"
	HealthChecks      = "fireflychute.probes"
	PlatformCalls     = "fireflychute.platform.calls"
	PlatformFailures  = "fireflychute.platform.failures"
	Snapshots         = "fireflychute.snapshots"
	VersionsBlocked   = "fireflychute.versions.blocked"
	FactsDropped      = "fireflychute.facts.dropped"
	PeerSent          = "fireflychute.peer.sent"
	PeerReceived      = "fireflychute.peer.received"
	PeerDropped       = "fireflychute.peer.dropped"
	LoadProbes        = "fireflychute.questions"
	LoadProbeFailures = "fireflychute.questions.failures"
	StoreAge          = "fireflychute.store.age"
	Watching          = "fireflychute.watching"
)

// All returns all metrics. The instruments and the page docs/metrics.md are generated from
// them.
func All() []Metric { return slices.Concat(Metrics, EdgeMetrics) }

// Metrics are the metrics of the product's own nodes. Nodes on the users' platform record
// those that apply to them.
var Metrics = []Metric{
	{Requests, Counter, "{request}", "Requests completed, by route and status class. A request that is relayed to another node is counted by both nodes.", []string{"route", "class"}},
	{RequestDuration, Histogram, "s", "Time from the arrival of a request to the end of its response, by route and status class.", []string{"route", "class"}},
	{Attempts, Counter, "{try}", "Attempts of requests at targets, including retries, by route.", []string{"route"}},
	{Retries, Counter, "{try}", "Attempts after the first one, by route.", []string{"route"}},
	{Rejections, Counter, "{request}", "Requests rejected without having been executed, by route and reason. The route is empty when the request had none.", []string{"route", "reason"}},
	{QueueDuration, Histogram, "s", "Time that requests waited for a free unit, by route. Requests that did not wait are not recorded.", []string{"route"}},
	{QueueLength, Gauge, "{request}", "Requests waiting for a free unit, by service.", []string{"service"}},
	{InFlight, Gauge, "{request}", "Requests of callers in flight.", nil},
	{Revision, Gauge, "{revision}", "Configuration revision that the node has applied.", nil},
	{FleetSize, Gauge, "{node}", "Nodes among which limits are divided, including this one.", nil},
	{Ready, Gauge, "{node}", "1 when the node accepts new requests.", nil},
	{Isolated, Gauge, "{node}", "1 when the node receives nothing from the platform or from peers.", nil},
	{Leases, Gauge, "{lease}", "1 for each lease that the node holds.", []string{"lease"}},
	{Targets, Gauge, "{target}", "Targets by service and state (Warm, Cold, Leaving).", []string{"service", "state"}},
	{TargetLevel, Gauge, "{unit}", "Ramp level of each cold target, in units across all nodes.", []string{"target"}},
	{HealthChecks, ObservedCounter, "{probe}", "Health checks performed, by target.", []string{"target"}},
	{PlatformCalls, ObservedCounter, "{call}", "Calls to the platform, including watches.", nil},
	{PlatformFailures, ObservedCounter, "{call}", "Calls to the platform that failed.", nil},
	{Snapshots, ObservedCounter, "{snapshot}", "Routing snapshots published to the request path.", nil},
	{VersionsBlocked, ObservedCounter, "{version}", "Versions that the node blocked based on its own measurements.", nil},
	{FactsDropped, ObservedCounter, "{fact}", "Facts dropped because they were too large or the table was full.", nil},
	{PeerSent, ObservedCounter, "By", "Bytes of messages written to peers, without TLS and TCP.", nil},
	{PeerReceived, ObservedCounter, "By", "Bytes of messages read from peers, without TLS and TCP.", nil},
	{PeerDropped, ObservedCounter, "{message}", "Messages to peers dropped because a queue was full.", nil},
}

// EdgeMetrics are recorded only by nodes on the users' platform.
var EdgeMetrics = []Metric{
	{LoadProbes, ObservedCounter, "{question}", "Load probes sent to targets before requests.", nil},
	{LoadProbeFailures, ObservedCounter, "{question}", "Load probes without a response.", nil},
	{StoreAge, Gauge, "ms", "Time since this node, or a node whose feed it follows, last reached the platform's store.", nil},
	{Watching, Gauge, "{node}", "1 when the node watches the platform's store.", nil},
}
