package edge

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/fireflychute/fireflychute/pkg/edge"
	"github.com/fireflychute/fireflychute/platform"
	"github.com/fireflychute/fireflychute/testbed/instance"
	"github.com/fireflychute/fireflychute/testbed/loopback"
	"github.com/fireflychute/fireflychute/testbed/metastore"
)

// world is a fleet of nodes on a stand-in of the platform.
type world struct {
	t         *testing.T
	g         *WithT
	store     *metastore.Store
	server    *metastore.Server
	address   string
	nodes     []*node
	instances []*instance.Instance
	ids       atomic.Int64
	// notice is the nodes' NoticeTime.
	notice time.Duration
}

type node struct {
	name    string
	front   string
	ready   string
	control string
	metrics string
	// storeAddress differs from the store's for a node that is cut off from it.
	storeAddress string
	signals      chan os.Signal
	ended        chan error
}

func newWorld(t *testing.T, nodes, instances int) *world {
	w := &world{t: t, g: NewWithT(t), store: metastore.New(), notice: 100 * time.Millisecond}
	w.server = metastore.NewServer(w.store)
	front := httptest.NewServer(w.server)
	t.Cleanup(front.CloseClientConnections)
	w.address = strings.TrimPrefix(front.URL, "http://")
	for i := range instances {
		started, err := instance.Start(instance.Options{ID: fmt.Sprintf("i-%d", i), Slots: 6, Work: 5 * time.Millisecond, Body: answerBody})
		w.g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(started.Stop)
		w.instances = append(w.instances, started)
		w.register(started, "v1", "ready")
	}
	t.Cleanup(w.stopAll)
	w.configure("0000000a", "s", 10)
	for i := range nodes {
		w.nodes = append(w.nodes, &node{
			name: fmt.Sprintf("n%d", i), front: freeAddress(w.g), ready: freeAddress(w.g), control: freeAddress(w.g), metrics: freeAddress(w.g), storeAddress: w.address,
		})
	}
	return w
}

// loopbackNetwork is the part of the loopback network of these tests.
const loopbackNetwork = 9

// freeAddress returns an address on a loopback IP of its own.
func freeAddress(g *WithT) string {
	listener, err := loopback.Listen(loopbackNetwork)
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	return listener.Addr().String()
}

func (w *world) register(i *instance.Instance, version, state string) {
	w.store.Put("servers", i.ID(), i.Entry(i.Address(), version, state))
}

// configure writes a configuration whose one route leads to a service.
func (w *world) configure(version, service string, timeout float64) {
	w.store.Put("config", "main", map[string]any{
		"version": version,
		"services": []any{
			map[string]any{"name": "s", "health-path": "/health", "max-conns": 260, "warmup-s": 3, "warmup-per-s": 7.8},
			map[string]any{"name": "other", "health-path": "/health", "max-conns": 260, "warmup-s": 3, "warmup-per-s": 7.8},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1 << 20, "header-timeout-s": 3, "idle-timeout-s": 15},
		"vhosts": []any{map[string]any{"host": "h.example", "paths": []any{
			map[string]any{"name": "r", "path-prefix": "/x/", "type": "safe", "timeout-s": timeout, "slo-s": 0.6, "priority": 1, "service": service, "attempts": 2},
		}}},
	})
}

func (w *world) start() {
	for _, n := range w.nodes {
		w.startNode(n)
	}
	for _, n := range w.nodes {
		w.g.Eventually(func() int { return w.get(n.ready, "/v1/ready") }, "10s", "20ms").Should(Equal(http.StatusOK), n.name)
	}
}

func (w *world) startNode(n *node) {
	n.signals, n.ended = make(chan os.Signal, 4), make(chan error, 1)
	settings := edge.Settings{
		Node: n.name, DataCentre: "dc1", Regions: map[string]string{"dc1": "r1"}, Cores: 1, LinkMbps: 1000,
		CallerListen: n.front, ReadyListen: n.ready, PeerListen: n.control, MetricsListen: n.metrics, Seeds: []string{w.nodes[0].control},
		StoreAddress: n.storeAddress, GracePeriod: 4 * time.Second, DrainDelay: w.notice, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 64,
		CanaryShare: 0.1, CanarySlack: 50,
	}
	log := zerolog.New(io.Discard)
	if os.Getenv("EDGE_TEST_LOG") != "" {
		log = zerolog.New(os.Stderr).With().Timestamp().Str("node", n.name).Logger()
	}
	p, err := edge.New(edge.Options{
		Settings: settings, Store: platform.NewStore(settings.StoreAddress), Codec: platform.Codec{}, Protocol: platform.Protocol{},
		ReadyPath: platform.ReadyPath, Log: log,
		Reload: func() (edge.Settings, error) { return settings, nil },
	})
	w.g.Expect(err).NotTo(HaveOccurred())
	go func() { n.ended <- p.Serve(n.signals) }()
}

// stopAll ends all nodes at the same time.
func (w *world) stopAll() {
	for _, n := range w.nodes {
		if n.signals != nil {
			n.signals <- syscall.SIGTERM
		}
	}
	for _, n := range w.nodes {
		if n.signals != nil {
			w.stop(n)
		}
	}
}

// stop ends a node and waits for it.
func (w *world) stop(n *node) {
	select {
	case n.signals <- syscall.SIGTERM:
	default:
	}
	select {
	case err := <-n.ended:
		if err != nil {
			w.t.Errorf("node %s ended: %v", n.name, err)
		}
		n.ended <- err
	case <-time.After(10 * time.Second):
		w.t.Errorf("node %s did not end", n.name)
	}
}

func (w *world) get(address, path string) int {
	answer, err := http.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	return answer.StatusCode
}

// call sends a request through a node and returns the status.
func (w *world) call(n *node) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+n.front+"/x/1", nil)
	w.g.Expect(err).NotTo(HaveOccurred())
	request.Host = "h.example"
	request.Header.Set("Fireflychute-Request-Id", fmt.Sprintf("q%d", w.ids.Add(1)))
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	if err != nil {
		return 0
	}
	return answer.StatusCode
}

// callAll calls each node and returns the statuses by node.
func (w *world) callAll() map[string]int {
	statuses := map[string]int{}
	for _, n := range w.nodes {
		statuses[n.name] = w.call(n)
	}
	return statuses
}

// each returns what callAll returns when all nodes answer with a status.
func (w *world) each(status int) map[string]int {
	statuses := map[string]int{}
	for _, n := range w.nodes {
		statuses[n.name] = status
	}
	return statuses
}
