package telemetry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

const (
	traceparentHeader = "Traceparent"
	sampledSuffix     = "-01"
)

var propagator = propagation.TraceContext{}

// Tracing starts spans. A nil Tracing starts none.
type Tracing struct {
	tracer trace.Tracer
	ratio  float64
}

// Tracing returns the node's tracing, nil when it is off. It accepts a nil Telemetry.
func (t *Telemetry) Tracing() *Tracing {
	if t == nil {
		return nil
	}
	return t.tracing
}

// Span is the span of a request or a try. A nil Span records nothing, so that a
// request that is not sampled costs one comparison per call.
type Span struct {
	ctx    context.Context
	tracer trace.Tracer
	span   trace.Span
}

// StartRequest starts the span of a request, or returns nil when it is not sampled. A
// caller's decision on sampling is followed.
func (t *Tracing) StartRequest(r *http.Request, route string) *Span {
	if t == nil || !t.sampled(r.Header.Get(traceparentHeader)) {
		return nil
	}
	ctx := propagator.Extract(context.Background(), propagation.HeaderCarrier(r.Header))
	ctx, span := t.tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(attribute.String("route", route)))
	return &Span{ctx: ctx, tracer: t.tracer, span: span}
}

func (t *Tracing) sampled(parent string) bool {
	if parent != "" {
		return strings.HasSuffix(parent, sampledSuffix)
	}
	return t.ratio > 0 && rand.Float64() < t.ratio
}

// StartAttempt starts the span of a try and puts the trace context into the headers for
// the target.
func (s *Span) StartAttempt(target string, candidates []string, evidence string, header http.Header) *Span {
	if s == nil {
		return nil
	}
	ctx, span := s.tracer.Start(s.ctx, "try", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("target", target), attribute.StringSlice("candidates", candidates), attribute.String("evidence", evidence)))
	propagator.Inject(ctx, propagation.HeaderCarrier(header))
	return &Span{ctx: ctx, tracer: s.tracer, span: span}
}

// End ends the span with the status and, if any, the failure.
func (s *Span) End(status int, failure string) {
	if s == nil {
		return
	}
	s.span.SetAttributes(attribute.Int("status", status))
	if failure != "" {
		s.span.SetStatus(codes.Error, failure)
	}
	s.span.End()
}
