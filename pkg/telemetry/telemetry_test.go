package telemetry

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

// Guards against a metric of the table without an instrument.
func TestEveryMetricIsServed(t *testing.T) {
	g := NewWithT(t)
	telemetry, err := New(t.Context(), Options{})
	g.Expect(err).NotTo(HaveOccurred())
	route := telemetry.Route("r")
	for _, m := range All() {
		switch m.Type {
		case Counter:
			route.Count(m.Name)
		case Histogram:
			route.RecordDuration(m.Name, time.Second)
		}
	}
	err = telemetry.Observe(func(record Record) {
		for _, m := range All() {
			if m.Type == ObservedCounter || m.Type == Gauge {
				record(m.Name, 1)
			}
		}
	})
	g.Expect(err).NotTo(HaveOccurred())
	page := httptest.NewRecorder()
	telemetry.Handler().ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, m := range All() {
		g.Expect(page.Body.String()).To(ContainSubstring("# HELP " + m.PrometheusName() + " " + m.Description))
	}
}

// Guards against the trace context not reaching the target and against spans of
// requests that the caller decided not to sample.
func TestTraceContext(t *testing.T) {
	g := NewWithT(t)
	spans := tracetest.NewInMemoryExporter()
	telemetry, err := New(t.Context(), Options{SpanExporter: spans, SampleRatio: 1})
	g.Expect(err).NotTo(HaveOccurred())
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	r.Header.Set(traceparentHeader, "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00")
	g.Expect(telemetry.Tracing().StartRequest(r, "r")).To(BeNil())
	r.Header.Set(traceparentHeader, "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
	span, out := telemetry.Tracing().StartRequest(r, "r"), http.Header{}
	span.StartAttempt("t", []string{"t"}, "e", out).End(200, "")
	span.End(200, "")
	g.Expect(telemetry.tracerProvider.ForceFlush(t.Context())).To(Succeed())
	g.Expect(spans.GetSpans()).To(HaveLen(2))
	g.Expect(out.Get(traceparentHeader)).To(HavePrefix("00-0af7651916cd43dd8448eb211c80319c-" + spans.GetSpans()[0].SpanContext.SpanID().String()))
}

func BenchmarkNotSampled(b *testing.B) {
	tracing := &Tracing{}
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	b.ReportAllocs()
	for b.Loop() {
		span := tracing.StartRequest(r, "r")
		span.StartAttempt("t", nil, "", nil).End(200, "")
		span.End(200, "")
	}
}
