package telemetry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlpmetric/otlpmetrichttp"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

const instrumentationScope = "github.com/fireflychute/fireflychute"

// bucketBounds are the upper bounds of the histogram buckets in seconds.
var bucketBounds = []float64{.0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10}

// Options configure Telemetry.
type Options struct {
	// OTLPEndpoint is the base URL of an OTLP receiver over HTTP; empty exports nothing.
	OTLPEndpoint string
	// Node is the name of this node, exported as service.instance.id.
	Node string
	// SampleRatio is the share, from 0 to 1, of requests without a trace context that are
	// sampled.
	SampleRatio float64
	// SpanExporter receives the spans; the OTLP exporter replaces it when OTLPEndpoint is set.
	SpanExporter sdktrace.SpanExporter
}

// resource identifies this node as the source of metrics and spans.
func (o Options) resource() *resource.Resource {
	return resource.NewSchemaless(attribute.String("service.name", "fireflychute"), attribute.String("service.instance.id", o.Node))
}

// Telemetry owns the instruments and exporters of a node. Close releases them.
type Telemetry struct {
	registry       *prometheus.Registry
	meterProvider  *sdkmetric.MeterProvider
	tracerProvider *sdktrace.TracerProvider
	tracing        *Tracing
	counters       map[string]metric.Int64Counter
	histograms     map[string]metric.Float64Histogram
	observables    map[string]metric.Int64Observable
	routes         sync.Map // route name -> *Route
}

// New creates the instruments and starts the exporters. Close must be called to export what
// is still buffered.
func New(ctx context.Context, options Options) (*Telemetry, error) {
	t := &Telemetry{registry: prometheus.NewRegistry(), counters: map[string]metric.Int64Counter{}, histograms: map[string]metric.Float64Histogram{}, observables: map[string]metric.Int64Observable{}}
	reader, err := exporter.New(exporter.WithRegisterer(t.registry))
	if err != nil {
		return nil, errors.Wrap(err, "create Prometheus exporter")
	}
	readers := []sdkmetric.Option{sdkmetric.WithReader(reader), sdkmetric.WithResource(options.resource())}
	spans := options.SpanExporter
	if options.OTLPEndpoint != "" {
		metrics, err := otlpmetrichttp.New(ctx, otlpmetrichttp.WithEndpointURL(options.OTLPEndpoint+"/v1/metrics"))
		if err != nil {
			return nil, errors.Wrap(err, "create OTLP metrics exporter")
		}
		readers = append(readers, sdkmetric.WithReader(sdkmetric.NewPeriodicReader(metrics)))
		spans, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(options.OTLPEndpoint+"/v1/traces"))
		if err != nil {
			return nil, errors.Wrap(err, "create OTLP trace exporter")
		}
	}
	t.meterProvider = sdkmetric.NewMeterProvider(readers...)
	t.startTracing(options, spans)
	return t, t.createInstruments()
}

func (t *Telemetry) startTracing(options Options, spans sdktrace.SpanExporter) {
	if spans == nil {
		return
	}
	t.tracerProvider = sdktrace.NewTracerProvider(sdktrace.WithBatcher(spans), sdktrace.WithResource(options.resource()))
	t.tracing = &Tracing{tracer: t.tracerProvider.Tracer(instrumentationScope), ratio: options.SampleRatio}
}

func (t *Telemetry) createInstruments() error {
	meter := t.meterProvider.Meter(instrumentationScope)
	for _, m := range All() {
		var err error
		switch m.Type {
		case Counter:
			t.counters[m.Name], err = meter.Int64Counter(m.Name, metric.WithUnit(m.Unit), metric.WithDescription(m.Description))
		case Histogram:
			t.histograms[m.Name], err = meter.Float64Histogram(m.Name, metric.WithUnit(m.Unit), metric.WithDescription(m.Description), metric.WithExplicitBucketBoundaries(bucketBounds...))
		case ObservedCounter:
			t.observables[m.Name], err = meter.Int64ObservableCounter(m.Name, metric.WithUnit(m.Unit), metric.WithDescription(m.Description))
		case Gauge:
			t.observables[m.Name], err = meter.Int64ObservableGauge(m.Name, metric.WithUnit(m.Unit), metric.WithDescription(m.Description))
		}
		if err != nil {
			return errors.Wrapf(err, "create instrument of metric %s", m.Name)
		}
	}
	return nil
}

// Record records a value of an ObservedCounter or Gauge. labels are alternating names and
// values.
type Record func(name string, value int64, labels ...string)

// Observe registers a function that records observed counters and gauges at each collection.
func (t *Telemetry) Observe(collect func(record Record)) error {
	instruments := []metric.Observable{}
	for _, instrument := range t.observables {
		instruments = append(instruments, instrument)
	}
	_, err := t.meterProvider.Meter(instrumentationScope).RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		collect(func(name string, value int64, labels ...string) {
			observer.ObserveInt64(t.observables[name], value, metric.WithAttributes(labelAttributes(labels)...))
		})
		return nil
	}, instruments...)
	return errors.Wrap(err, "register metrics callback")
}

func labelAttributes(labels []string) []attribute.KeyValue {
	attributes := make([]attribute.KeyValue, 0, len(labels)/2)
	for i := 0; i+1 < len(labels); i += 2 {
		attributes = append(attributes, attribute.String(labels[i], labels[i+1]))
	}
	return attributes
}

// Handler serves the metrics in the Prometheus format.
func (t *Telemetry) Handler() http.Handler {
	return promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{})
}

// Close exports what is buffered and stops the exporters.
func (t *Telemetry) Close(ctx context.Context) error {
	err := t.meterProvider.Shutdown(ctx)
	if t.tracerProvider != nil {
		return errors.Wrap(firstError(t.tracerProvider.Shutdown(ctx), err), "close telemetry")
	}
	return errors.Wrap(err, "close telemetry")
}

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// Route records the metrics of one route with precomputed attributes. A nil Route records
// nothing.
type Route struct {
	telemetry          *Telemetry
	name               string
	addOptions         []metric.AddOption
	recordOptions      []metric.RecordOption
	classAddOptions    [6][]metric.AddOption // by first digit of the HTTP status
	classRecordOptions [6][]metric.RecordOption
}

// Route returns the metrics of a route. It accepts a nil Telemetry.
func (t *Telemetry) Route(name string) *Route {
	if t == nil {
		return nil
	}
	stored, ok := t.routes.Load(name)
	if ok {
		return stored.(*Route)
	}
	stored, _ = t.routes.LoadOrStore(name, t.newRoute(name))
	return stored.(*Route)
}

func (t *Telemetry) newRoute(name string) *Route {
	route := attribute.String("route", name)
	plain := metric.WithAttributeSet(attribute.NewSet(route))
	r := &Route{telemetry: t, name: name, addOptions: []metric.AddOption{plain}, recordOptions: []metric.RecordOption{plain}}
	for class := range r.classAddOptions {
		option := metric.WithAttributeSet(attribute.NewSet(route, attribute.Int("class", class)))
		r.classAddOptions[class] = []metric.AddOption{option}
		r.classRecordOptions[class] = []metric.RecordOption{option}
	}
	return r
}

// Count increments a Counter that has the label "route".
func (r *Route) Count(name string) {
	if r != nil {
		r.telemetry.counters[name].Add(context.Background(), 1, r.addOptions...)
	}
}

// CountRejection counts a request that was rejected without having been executed. reason must
// be one of a small fixed set, because each value is a series.
func (r *Route) CountRejection(reason string) {
	if r != nil {
		attributes := metric.WithAttributes(attribute.String("route", r.name), attribute.String("reason", reason))
		r.telemetry.counters[Rejections].Add(context.Background(), 1, attributes)
	}
}

// RecordDuration records a duration in a Histogram that has the label "route".
func (r *Route) RecordDuration(name string, duration time.Duration) {
	if r != nil {
		r.telemetry.histograms[name].Record(context.Background(), duration.Seconds(), r.recordOptions...)
	}
}

// RecordResponse records a completed request and its duration, by class of the HTTP status.
func (r *Route) RecordResponse(status int, duration time.Duration) {
	if r == nil {
		return
	}
	class := min(max(status/100, 0), len(r.classAddOptions)-1)
	r.telemetry.counters[Requests].Add(context.Background(), 1, r.classAddOptions[class]...)
	r.telemetry.histograms[RequestDuration].Record(context.Background(), duration.Seconds(), r.classRecordOptions[class]...)
}
