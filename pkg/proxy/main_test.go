package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/snapshot"
	"github.com/fireflychute/fireflychute/pkg/targets"
)

// bench is a node with one service.
type bench struct {
	*Handler
	node    *httptest.Server
	route   *snapshot.Route
	version *snapshot.Version
}

func newBench(t testing.TB, work api.WorkKindSpec, targets ...http.HandlerFunc) *bench {
	t.Helper()
	if work.TimeoutMs == 0 {
		work.TimeoutMs = 60_000
	}
	service := &snapshot.Service{Name: "s", Spec: api.ServiceSpec{Slots: 6}, Versions: []snapshot.Version{{Name: "v1", Share: 1}}}
	b := &bench{version: &service.Versions[0], route: &snapshot.Route{Name: "r", Spec: api.RouteSpec{PathPrefix: "/"}, WorkKind: work, Service: service}}
	for _, serve := range targets {
		server := httptest.NewServer(serve)
		t.Cleanup(server.Close)
		b.add(server.Listener.Addr().String())
	}
	var published atomic.Pointer[snapshot.Snapshot]
	published.Store(&snapshot.Snapshot{Revision: 1, Routes: []*snapshot.Route{b.route}})
	b.Handler = NewHandler(Options{Published: &published, Node: "n1", Seed: 1, ParseReport: parseReport})
	b.node = httptest.NewServer(b.Handler)
	t.Cleanup(b.node.Close)
	return b
}

// add adds a target of which this node, the only one, is the owner.
func (b *bench) add(address string) *targets.Counters {
	registry := targets.NewRegistry("n1")
	now := time.Now()
	registry.ApplyList(now, api.VMList{Version: 1, VMs: []api.VM{{Address: address, Role: "target", Service: "s", State: api.VMStateLive}}})
	registry.Collect(now, []string{"n1"}, map[string]api.ServiceSpec{"s": b.route.Service.Spec})
	counters := registry.Entries()[0].Counters
	b.version.Targets = append(b.version.Targets, &snapshot.Target{Address: address, Version: "v1", Units: 6, Connections: 100, Counters: counters})
	return counters
}

// parseReport reads the one field that the tests use.
func parseReport(value string) (targets.Report, bool) {
	return targets.Report{Draining: strings.Contains(value, "draining=1")}, value != ""
}

func (b *bench) call(ctx context.Context, method, body string, header ...string) (*http.Response, string, error) {
	r, err := http.NewRequestWithContext(ctx, method, b.node.URL+"/x", strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	answer, err := b.node.Client().Do(r)
	if err != nil {
		return nil, "", err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	return answer, string(text), err
}

// drop ends the connection without an answer.
func drop(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func refuseNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(HeaderOutcome, OutcomeNotRun)
	w.Header().Set(HeaderLoad, "draining=1")
	w.WriteHeader(http.StatusServiceUnavailable)
}
