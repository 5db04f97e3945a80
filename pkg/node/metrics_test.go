package node

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/control"
	"github.com/fireflychute/fireflychute/pkg/operator/operatortest"
	"github.com/fireflychute/fireflychute/pkg/settings"
	"github.com/fireflychute/fireflychute/pkg/targets"
	"github.com/fireflychute/fireflychute/pkg/telemetry"
	"github.com/rs/zerolog"
)

// Guards against an observed metric in telemetry.Metrics that the node does not record, and
// against labels that differ from those declared there.
func TestObservedMetricsAreRecorded(t *testing.T) {
	g := NewWithT(t)
	recorded := map[string][]string{}
	record := func(name string, _ int64, labels ...string) {
		names := []string{}
		for i := 0; i < len(labels); i += 2 {
			names = append(names, labels[i])
		}
		recorded[name] = names
	}
	n := newTestNode(g)
	n.observe(record)
	observeTraffic(record, map[string]int{"s": 1}, 1)
	observeState(record, control.State{Leases: []string{"controller"}, HealthChecks: map[string]uint64{"t": 1}}, true)
	observeTargets(record, []targets.Entry{{Address: "t", Cold: true}})
	for _, m := range telemetry.Metrics {
		if m.Type == telemetry.ObservedCounter || m.Type == telemetry.Gauge {
			g.Expect(recorded).To(HaveKeyWithValue(m.Name, ConsistOf(m.Labels)), m.Name)
			delete(recorded, m.Name)
		}
	}
	g.Expect(recorded).To(BeEmpty())
}

// Guards against metrics of the control goroutine missing from the metrics page.
func TestMetricsPage(t *testing.T) {
	g := NewWithT(t)
	n := newTestNode(g)
	page := httptest.NewRecorder()
	n.telemetry.Handler().ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	g.Expect(page.Body.String()).To(MatchRegexp(`(?m)^fireflychute_node_ready\{.*\} 0$`))
	g.Expect(page.Body.String()).To(ContainSubstring(`service_instance_id="n1",service_name="fireflychute"`))
	g.Expect(page.Body.String()).To(MatchRegexp(`(?m)^fireflychute_platform_calls_total\{`))
}

// newTestNode returns a node whose control goroutine does not run.
func newTestNode(g *WithT) *Node {
	config, err := settings.Parse("test", []byte(`
[node]
name = "n1"
dataCentre = "north"
[callers]
listen = "127.0.0.1:0"
[operators]
listen = "127.0.0.1:0"
[peers]
listen = "127.0.0.1:0"
[platform]
url = "http://127.0.0.1:1"
`))
	g.Expect(err).NotTo(HaveOccurred())
	n, err := newNode(config, operatortest.NewStore(), zerolog.Nop())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n.peerServer.Close()).To(Succeed())
	n.peerClient.Close()
	return n
}
