package telemetry

// Type is the type of a metric.
type Type string

// Types of metrics.
const (
	Counter   Type = "counter"
	Histogram Type = "histogram"
)

// Metric describes one metric.
type Metric struct {
	Name    string
	Type    Type
	Unit    string
	Meaning string
}

// Names of the metrics.
const (
	Requests        = "fireflychute.requests"
	RequestDuration = "fireflychute.request.duration"
	Tries           = "fireflychute.tries"
	Retries         = "fireflychute.retries"
	Refusals        = "fireflychute.refusals"
	QueueDuration   = "fireflychute.queue.duration"
)

// Metrics is the table of all metrics, from which the instruments are made.
var Metrics = []Metric{
	{Requests, Counter, "{request}", "Requests answered, by route and class of status."},
	{RequestDuration, Histogram, "s", "Time from a request's arrival to the end of its answer, by route and class of status."},
	{Tries, Counter, "{try}", "Requests sent to targets, retries included, by route."},
	{Retries, Counter, "{try}", "Tries after the first one, by route."},
	{Refusals, Counter, "{request}", "Requests refused as not run, by route."},
	{QueueDuration, Histogram, "s", "Time that a request waited for a free unit, by route; only requests that waited."},
}
