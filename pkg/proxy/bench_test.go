package proxy

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/targets"
	"github.com/fireflychute/fireflychute/pkg/telemetry"
)

// discardWriter discards the response.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}

// BenchmarkRequest measures one request through the handler to a target on loopback, with metrics
// and without the callers' listener.
func BenchmarkRequest(b *testing.B) {
	h := newTestNode(b, api.WorkKindSpec{Idempotent: true}, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	h.options.ParseReport = func(string) (targets.Report, bool) { return targets.Report{}, false }
	metrics, err := telemetry.New(b.Context(), telemetry.Options{})
	if err != nil {
		b.Fatal(err)
	}
	h.options.Telemetry = metrics
	b.ReportAllocs()
	for b.Loop() {
		h.ServeHTTP(discardWriter{http.Header{}}, httptest.NewRequest(http.MethodGet, "/x", nil))
	}
}
