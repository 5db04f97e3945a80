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
	PlatformRestores  = "fireflychute.platform.restores"
	Snapshots         = "fireflychute.snapshots"
	VersionsBlocked   = "fireflychute.versions.blocked"
	FactsDropped      = "fireflychute.facts.dropped"
	PeerSent          = "fireflychute.peer.sent"
	PeerReceived      = "fireflychute.peer.received"
	PeerDropped       = "fireflychute.peer.dropped"
	LoadProbes        = "fireflychute.questions"
	LoadProbeFailures = "fireflychute.questions.failures"
	LimitedTargets    = "fireflychute.targets.limited"
	LimitedSends      = "fireflychute.limited.sends"
	LimitUnits        = "fireflychute.limit.units"
	LimitsIgnored     = "fireflychute.limits.ignored"
	StoreAge          = "fireflychute.store.age"
	Watching          = "fireflychute.watching"
)

// All returns all metrics. The instruments and the page docs/metrics.md are generated from
// them.
func All() []Metric { return slices.Concat(Metrics, EdgeMetrics) }

// Metrics are the metrics of the product's own nodes. Nodes on the users' platform record
// those that apply to them.
var Metrics = []Metric{
	{Requests, Counter, "{request}", "Requests answered, by route and class of status. A request that was handed over counts at both nodes.", []string{"route", "class"}},
	{RequestDuration, Histogram, "s", "Time from a request's arrival to the end of its answer, by route and class of status.", []string{"route", "class"}},
	{Attempts, Counter, "{try}", "Requests sent to targets, retries included, by route.", []string{"route"}},
	{Retries, Counter, "{try}", "Tries after the first one, by route.", []string{"route"}},
	{Rejections, Counter, "{request}", "Requests refused as not run, by route and reason. The route is empty when there was none.", []string{"route", "reason"}},
	{QueueDuration, Histogram, "s", "Time that a request waited for a free unit, by route; only requests that waited.", []string{"route"}},
	{QueueLength, Gauge, "{request}", "Requests that wait for a free unit, by service.", []string{"service"}},
	{InFlight, Gauge, "{request}", "Requests of callers that are being served.", nil},
	{Revision, Gauge, "{revision}", "Revision of the configuration that the node has applied.", nil},
	{FleetSize, Gauge, "{node}", "Nodes by which limits are divided, this one included.", nil},
	{Ready, Gauge, "{node}", "1 when the node takes new calls.", nil},
	{Isolated, Gauge, "{node}", "1 when the node hears neither the platform nor peers.", nil},
	{Leases, Gauge, "{lease}", "1 for each lease that the node holds.", []string{"lease"}},
	{Targets, Gauge, "{target}", "Targets by service and state (Warm, Cold, Leaving).", []string{"service", "state"}},
	{TargetLevel, Gauge, "{unit}", "Ramp level of each cold target: units of all nodes together.", []string{"target"}},
	{HealthChecks, ObservedCounter, "{probe}", "Health checks made, by target.", []string{"target"}},
	{PlatformCalls, ObservedCounter, "{call}", "Calls on the platform, watches included.", nil},
	{PlatformFailures, ObservedCounter, "{call}", "Calls on the platform that failed.", nil},
	{Snapshots, ObservedCounter, "{snapshot}", "Snapshots published to traffic.", nil},
	{VersionsBlocked, ObservedCounter, "{version}", "Versions that the node stopped sending to on its own evidence.", nil},
	{FactsDropped, ObservedCounter, "{fact}", "Facts dropped because they were too large or the table was full.", nil},
	{PeerSent, ObservedCounter, "By", "Bytes of messages written to peers, without TLS and TCP.", nil},
	{PeerReceived, ObservedCounter, "By", "Bytes of messages read from peers, without TLS and TCP.", nil},
	{PeerDropped, ObservedCounter, "{message}", "Messages to peers dropped because a queue was full.", nil},
}

// EdgeMetrics are recorded only by nodes on the users' platform.
var EdgeMetrics = []Metric{
	{LoadProbes, ObservedCounter, "{question}", "Load questions asked before sends.", nil},
	{LoadProbeFailures, ObservedCounter, "{question}", "Load questions without an answer.", nil},
	{PlatformRestores, ObservedCounter, "{restore}", "Times that the platform's store came back from an older copy.", nil},
	{LimitedTargets, Gauge, "{target}", "Targets of which the node knows a limit for all nodes together.", nil},
	{LimitedSends, ObservedCounter, "{send}", "Requests and load probes sent to targets of which the node knew a limit, by carrier (request, retry, hedge, probe).", []string{"carrier"}},
	{LimitUnits, ObservedCounter, "{unit}", "Units of limits and of the warm-up rate of cold targets, by result: own share, granted by another node, refused, or failed because an owner did not reply.", []string{"result"}},
	{LimitsIgnored, ObservedCounter, "{response}", "Responses that named something that is not a limit.", nil},
	{StoreAge, Gauge, "ms", "Time since the node or one that it follows last reached the platform's store.", nil},
	{Watching, Gauge, "{node}", "1 when the node watches the platform's store.", nil},
}
