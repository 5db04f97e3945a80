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

// cluster is a set of nodes in this process, with stand-ins for the platform's store and instances.
type cluster struct {
	t            *testing.T
	g            *WithT
	store        *metastore.Store
	server       *metastore.Server
	storeAddress string
	nodes        []*node
	instances    []*instance.Instance
	lastID       atomic.Int64
	// drainDelay is how long a stopping node keeps serving before it rejects requests.
	drainDelay time.Duration
}

type node struct {
	name           string
	frontAddress   string
	readyAddress   string
	controlAddress string
	metricsAddress string
	// storeAddress is the address at which the node connects to the store. It differs from the
	// store's address for a node that is cut off from it.
	storeAddress string
	signals      chan os.Signal
	exited       chan error
}

func newCluster(t *testing.T, nodes, instances int) *cluster {
	w := &cluster{t: t, g: NewWithT(t), store: metastore.New(), drainDelay: 100 * time.Millisecond}
	w.server = metastore.NewServer(w.store)
	storeServer := httptest.NewServer(w.server)
	t.Cleanup(storeServer.CloseClientConnections)
	w.storeAddress = strings.TrimPrefix(storeServer.URL, "http://")
	for i := range instances {
		started, err := instance.Start(instance.Options{ID: fmt.Sprintf("i-%d", i), Slots: 6, ServiceTime: 5 * time.Millisecond, ResponseBody: responseBody})
		w.g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(started.Stop)
		w.instances = append(w.instances, started)
		w.register(started, "v1", "ready")
	}
	t.Cleanup(w.stopAll)
	w.configure("0000000a", "s", 10)
	for i := range nodes {
		w.nodes = append(w.nodes, &node{
			name: fmt.Sprintf("n%d", i), frontAddress: freeAddress(w.g), readyAddress: freeAddress(w.g), controlAddress: freeAddress(w.g), metricsAddress: freeAddress(w.g), storeAddress: w.storeAddress,
		})
	}
	return w
}

// loopbackNetwork is the second byte of the loopback addresses of these tests.
const loopbackNetwork = 9

// freeAddress returns an address with a free port on a loopback IP that no other address uses.
func freeAddress(g *WithT) string {
	listener, err := loopback.Listen(loopbackNetwork)
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	return listener.Addr().String()
}

func (c *cluster) register(i *instance.Instance, version, state string) {
	c.store.Put("servers", i.ID(), i.Entry(i.Address(), version, state))
}

// configure writes a configuration with a single route, which leads to the service.
func (c *cluster) configure(version, service string, timeout float64) {
	c.store.Put("config", "main", map[string]any{
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

func (c *cluster) start() {
	for _, n := range c.nodes {
		c.startNode(n)
	}
	for _, n := range c.nodes {
		c.g.Eventually(func() int { return c.getStatus(n.readyAddress, "/v1/ready") }, "10s", "20ms").Should(Equal(http.StatusOK), n.name)
	}
}

func (c *cluster) startNode(n *node) {
	n.signals, n.exited = make(chan os.Signal, 4), make(chan error, 1)
	settings := edge.Settings{
		Node: n.name, DataCentre: "dc1", Regions: map[string]string{"dc1": "r1"}, Cores: 1, LinkMbps: 1000,
		CallerListen: n.frontAddress, ReadyListen: n.readyAddress, PeerListen: n.controlAddress, MetricsListen: n.metricsAddress, Seeds: []string{c.nodes[0].controlAddress},
		StoreAddress: n.storeAddress, GracePeriod: 4 * time.Second, DrainDelay: c.drainDelay, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 64,
		CanaryShare: 0.1, CanarySlack: 50,
	}
	logger := zerolog.New(io.Discard)
	if os.Getenv("EDGE_TEST_LOG") != "" {
		logger = zerolog.New(os.Stderr).With().Timestamp().Str("node", n.name).Logger()
	}
	p, err := edge.New(edge.Options{
		Settings: settings, Store: platform.NewStore(settings.StoreAddress), Codec: platform.Codec{}, Protocol: platform.Protocol{},
		ReadyPath: platform.ReadyPath, Log: logger,
		Reload: func() (edge.Settings, error) { return settings, nil },
	})
	c.g.Expect(err).NotTo(HaveOccurred())
	go func() { n.exited <- p.Serve(n.signals) }()
}

// stopAll sends SIGTERM to all nodes at once and waits until they have stopped.
func (c *cluster) stopAll() {
	for _, n := range c.nodes {
		if n.signals != nil {
			n.signals <- syscall.SIGTERM
		}
	}
	for _, n := range c.nodes {
		if n.signals != nil {
			c.stop(n)
		}
	}
}

// stop sends SIGTERM to a node and waits until it has stopped.
func (c *cluster) stop(n *node) {
	select {
	case n.signals <- syscall.SIGTERM:
	default:
	}
	select {
	case err := <-n.exited:
		if err != nil {
			c.t.Errorf("node %s stopped with error: %v", n.name, err)
		}
		n.exited <- err
	case <-time.After(10 * time.Second):
		c.t.Errorf("node %s is still running 10 s after SIGTERM", n.name)
	}
}

func (c *cluster) getStatus(address, path string) int {
	response, err := http.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// call sends a request for the route of configure through a node and returns the status, or 0 without a
// complete response.
func (c *cluster) call(n *node) int { return c.callPath(n, "/x/1") }

// callPath sends a request for a path through a node and returns the status, or 0 without a complete response.
func (c *cluster) callPath(n *node, path string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+n.frontAddress+path, nil)
	c.g.Expect(err).NotTo(HaveOccurred())
	request.Host = "h.example"
	request.Header.Set("Fireflychute-Request-Id", fmt.Sprintf("q%d", c.lastID.Add(1)))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	if err != nil {
		return 0
	}
	return response.StatusCode
}

// callAll sends a request through each node and returns the statuses by node name.
func (c *cluster) callAll() map[string]int {
	statuses := map[string]int{}
	for _, n := range c.nodes {
		statuses[n.name] = c.call(n)
	}
	return statuses
}

// sameStatus returns the result of callAll when all nodes respond with the status.
func (c *cluster) sameStatus(status int) map[string]int {
	statuses := map[string]int{}
	for _, n := range c.nodes {
		statuses[n.name] = status
	}
	return statuses
}
