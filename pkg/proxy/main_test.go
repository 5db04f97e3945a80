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

// testNode is a node with one service whose targets are local HTTP servers.
type testNode struct {
	*Handler
	server  *httptest.Server
	route   *snapshot.Route
	version *snapshot.Version
}

func newTestNode(t testing.TB, work api.WorkKindSpec, targets ...http.HandlerFunc) *testNode {
	t.Helper()
	if work.TimeoutMs == 0 {
		work.TimeoutMs = 60_000
	}
	service := &snapshot.Service{Name: "s", Spec: api.ServiceSpec{Slots: 6}, Versions: []snapshot.Version{{Name: "v1", Share: 1}}}
	n := &testNode{version: &service.Versions[0], route: &snapshot.Route{Name: "r", Spec: api.RouteSpec{PathPrefix: "/"}, WorkKind: work, Service: service}}
	for _, serve := range targets {
		server := httptest.NewServer(serve)
		t.Cleanup(server.Close)
		n.add(server.Listener.Addr().String())
	}
	var published atomic.Pointer[snapshot.Snapshot]
	published.Store(&snapshot.Snapshot{Revision: 1, Routes: []*snapshot.Route{n.route}})
	n.Handler = NewHandler(Options{Published: &published, Node: "n1", Seed: 1, ParseReport: parseReport})
	n.server = httptest.NewServer(n.Handler)
	t.Cleanup(n.server.Close)
	return n
}

// add adds a target that is owned by this node, the only one.
func (n *testNode) add(address string) *targets.Counters {
	registry := targets.NewRegistry("n1")
	now := time.Now()
	registry.ApplyList(now, api.VMList{Version: 1, VMs: []api.VM{{Address: address, Role: "target", Service: "s", State: api.VMStateLive}}})
	registry.Collect(now, []string{"n1"}, map[string]api.ServiceSpec{"s": n.route.Service.Spec})
	counters := registry.Entries()[0].Counters
	n.version.Targets = append(n.version.Targets, &snapshot.Target{Address: address, Version: "v1", Units: 6, Connections: 100, Counters: counters})
	return counters
}

// parseReport parses the only field that the tests use.
func parseReport(value string) (targets.Report, bool) {
	return targets.Report{Draining: strings.Contains(value, "draining=1")}, value != ""
}

func (n *testNode) call(ctx context.Context, method, body string, header ...string) (*http.Response, string, error) {
	r, err := http.NewRequestWithContext(ctx, method, n.server.URL+"/x", strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := n.server.Client().Do(r)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

// abortConnection closes the connection without a response.
func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// rejectNotRun responds like a draining target that did not run the request.
func rejectNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(HeaderOutcome, OutcomeNotRun)
	w.Header().Set(HeaderLoad, "draining=1")
	w.WriteHeader(http.StatusServiceUnavailable)
}
