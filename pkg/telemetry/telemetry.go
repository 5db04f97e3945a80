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

const scope = "github.com/fireflychute/fireflychute"

// bounds are the histograms' bucket limits in seconds.
var bounds = []float64{.0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10}

// Options are the settings of telemetry.
type Options struct {
	// OTLP is the base URL of an OTLP receiver over HTTP; empty exports nothing.
	OTLP string
	// Node is the name of this node; all exports carry it.
	Node string
	// SampleRatio is the part of the requests without a trace that get one.
	SampleRatio float64
	// Spans receives the spans in place of the OTLP exporter.
	Spans sdktrace.SpanExporter
}

// resource names the source of metrics and spans at a collector.
func (o Options) resource() *resource.Resource {
	return resource.NewSchemaless(attribute.String("service.name", "fireflychute"), attribute.String("service.instance.id", o.Node))
}

// Telemetry owns the exporters.
type Telemetry struct {
	registry *prometheus.Registry
	meters   *sdkmetric.MeterProvider
	traces   *sdktrace.TracerProvider
	tracing  *Tracing
	counters map[string]metric.Int64Counter
	times    map[string]metric.Float64Histogram
	observed map[string]metric.Int64Observable
	routes   sync.Map // route name -> *Route
}

// New starts telemetry. Close must be called to export what is left.
func New(ctx context.Context, options Options) (*Telemetry, error) {
	t := &Telemetry{registry: prometheus.NewRegistry(), counters: map[string]metric.Int64Counter{}, times: map[string]metric.Float64Histogram{}, observed: map[string]metric.Int64Observable{}}
	reader, err := exporter.New(exporter.WithRegisterer(t.registry))
	if err != nil {
		return nil, errors.Wrap(err, "prometheus exporter")
	}
	readers := []sdkmetric.Option{sdkmetric.WithReader(reader), sdkmetric.WithResource(options.resource())}
	spans := options.Spans
	if options.OTLP != "" {
		metrics, err := otlpmetrichttp.New(ctx, otlpmetrichttp.WithEndpointURL(options.OTLP+"/v1/metrics"))
		if err != nil {
			return nil, errors.Wrap(err, "OTLP metrics exporter")
		}
		readers = append(readers, sdkmetric.WithReader(sdkmetric.NewPeriodicReader(metrics)))
		spans, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(options.OTLP+"/v1/traces"))
		if err != nil {
			return nil, errors.Wrap(err, "OTLP trace exporter")
		}
	}
	t.meters = sdkmetric.NewMeterProvider(readers...)
	t.startTracing(options, spans)
	return t, t.makeInstruments()
}

func (t *Telemetry) startTracing(options Options, spans sdktrace.SpanExporter) {
	if spans == nil {
		return
	}
	t.traces = sdktrace.NewTracerProvider(sdktrace.WithBatcher(spans), sdktrace.WithResource(options.resource()))
	t.tracing = &Tracing{tracer: t.traces.Tracer(scope), ratio: options.SampleRatio}
}

func (t *Telemetry) makeInstruments() error {
	meter := t.meters.Meter(scope)
	for _, m := range All() {
		var err error
		switch m.Type {
		case Counter:
			t.counters[m.Name], err = meter.Int64Counter(m.Name, metric.WithUnit(m.Unit), metric.WithDescription(m.Meaning))
		case Histogram:
			t.times[m.Name], err = meter.Float64Histogram(m.Name, metric.WithUnit(m.Unit), metric.WithDescription(m.Meaning), metric.WithExplicitBucketBoundaries(bounds...))
		case ObservedCounter:
			t.observed[m.Name], err = meter.Int64ObservableCounter(m.Name, metric.WithUnit(m.Unit), metric.WithDescription(m.Meaning))
		case Gauge:
			t.observed[m.Name], err = meter.Int64ObservableGauge(m.Name, metric.WithUnit(m.Unit), metric.WithDescription(m.Meaning))
		}
		if err != nil {
			return errors.Wrapf(err, "metric %s", m.Name)
		}
	}
	return nil
}

// Record takes one value of an observed counter or gauge of the table. labels are
// pairs of name and value.
type Record func(name string, value int64, labels ...string)

// Observe registers a function that is called at each collection of metrics.
func (t *Telemetry) Observe(read func(record Record)) error {
	instruments := []metric.Observable{}
	for _, instrument := range t.observed {
		instruments = append(instruments, instrument)
	}
	_, err := t.meters.Meter(scope).RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		read(func(name string, value int64, labels ...string) {
			observer.ObserveInt64(t.observed[name], value, metric.WithAttributes(pairs(labels)...))
		})
		return nil
	}, instruments...)
	return errors.Wrap(err, "register metrics")
}

func pairs(labels []string) []attribute.KeyValue {
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

// Close exports what is left and ends the exporters.
func (t *Telemetry) Close(ctx context.Context) error {
	err := t.meters.Shutdown(ctx)
	if t.traces != nil {
		return errors.Wrap(firstError(t.traces.Shutdown(ctx), err), "close telemetry")
	}
	return errors.Wrap(err, "close telemetry")
}

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// Route has the metrics of one route, with their attributes prepared. A nil
// Route records nothing.
type Route struct {
	telemetry *Telemetry
	name      string
	add       []metric.AddOption
	record    []metric.RecordOption
	classAdd  [6][]metric.AddOption // by first digit of the status
	classTime [6][]metric.RecordOption
}

// Route returns the metrics of a route. It accepts a nil Telemetry.
func (t *Telemetry) Route(name string) *Route {
	if t == nil {
		return nil
	}
	known, ok := t.routes.Load(name)
	if ok {
		return known.(*Route)
	}
	known, _ = t.routes.LoadOrStore(name, t.newRoute(name))
	return known.(*Route)
}

func (t *Telemetry) newRoute(name string) *Route {
	route := attribute.String("route", name)
	plain := metric.WithAttributeSet(attribute.NewSet(route))
	r := &Route{telemetry: t, name: name, add: []metric.AddOption{plain}, record: []metric.RecordOption{plain}}
	for class := range r.classAdd {
		option := metric.WithAttributeSet(attribute.NewSet(route, attribute.Int("class", class)))
		r.classAdd[class] = []metric.AddOption{option}
		r.classTime[class] = []metric.RecordOption{option}
	}
	return r
}

// Count adds one to a counter of the table.
func (r *Route) Count(name string) {
	if r != nil {
		r.telemetry.counters[name].Add(context.Background(), 1, r.add...)
	}
}

// Refused counts a request that was refused as not run. reason is one of a few
// fixed words.
func (r *Route) Refused(reason string) {
	if r != nil {
		attributes := metric.WithAttributes(attribute.String("route", r.name), attribute.String("reason", reason))
		r.telemetry.counters[Refusals].Add(context.Background(), 1, attributes)
	}
}

// Time records a duration in a histogram of the table.
func (r *Route) Time(name string, duration time.Duration) {
	if r != nil {
		r.telemetry.times[name].Record(context.Background(), duration.Seconds(), r.record...)
	}
}

// Answered records an answered request.
func (r *Route) Answered(status int, duration time.Duration) {
	if r == nil {
		return
	}
	class := min(max(status/100, 0), len(r.classAdd)-1)
	r.telemetry.counters[Requests].Add(context.Background(), 1, r.classAdd[class]...)
	r.telemetry.times[RequestDuration].Record(context.Background(), duration.Seconds(), r.classTime[class]...)
}
