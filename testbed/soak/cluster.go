package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/fireflychute/fireflychute/testbed/instance"
	"github.com/fireflychute/fireflychute/testbed/loopback"
	"github.com/fireflychute/fireflychute/testbed/metastore"
)

// Fixed values of a soak.
const (
	// warmupRate is the number of requests per second that a cold instance tolerates.
	warmupRate = 10.0

	responseBody = "soak answer"
	drainTimeout = 3 * time.Second
)

// size is the number of processes and stand-ins of a cluster.
type size struct{ nodes, instances int }

// cluster is the set of node processes of one soak and the stand-ins for their store and instances.
type cluster struct {
	dir          string
	binary       string
	store        *metastore.Store
	server       *metastore.Server
	storeAddress string
	nodes        []*node
	instances    []*instance.Instance
	// instancePaths holds the proxy in front of each instance.
	instancePaths map[*instance.Instance]*Proxy
	mu            sync.Mutex
	// version is the version of the configuration in the store; guarded by mu.
	version int
	// entries holds what each registered instance writes to the store; guarded by mu.
	entries map[*instance.Instance]entry
}

// entry is what an instance tells in the store.
type entry struct{ version, state string }

// node is one node process and the proxy between it and the store.
type node struct {
	name, frontAddress, readyAddress, controlAddress string
	storePath                                        *Proxy
	mu                                               sync.Mutex
	cmd                                              *exec.Cmd
	exited                                           chan struct{}
	// timeBoundsSuspendedUntil is the time until which time bounds do not apply to the node.
	timeBoundsSuspendedUntil time.Time
	isPaused                 bool
	isStopping               bool
}

func newCluster(dir, binary string, size size) (*cluster, error) {
	w := &cluster{dir: dir, binary: binary, store: metastore.New(), instancePaths: map[*instance.Instance]*Proxy{}, entries: map[*instance.Instance]entry{}}
	w.server = metastore.NewServer(w.store)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, w.server) }() // runs until the process exits
	w.storeAddress = listener.Addr().String()
	for i := range size.instances {
		started, err := w.startInstance(fmt.Sprintf("i-%d", i))
		if err != nil {
			return nil, err
		}
		w.register(started, "v1", "ready")
	}
	w.configure()
	for i := range size.nodes {
		n, err := w.newNode(i)
		if err != nil {
			return nil, err
		}
		w.nodes = append(w.nodes, n)
	}
	return w, nil
}

// loopbackNetwork is the second byte of the loopback addresses of the soak's nodes.
const loopbackNetwork = 8

func (c *cluster) newNode(i int) (*node, error) {
	path, err := NewProxy(c.storeAddress)
	if err != nil {
		return nil, err
	}
	n := &node{name: fmt.Sprintf("n%d", i), storePath: path}
	for _, address := range []*string{&n.frontAddress, &n.readyAddress, &n.controlAddress} {
		listener, err := loopback.Listen(loopbackNetwork)
		if err != nil {
			return nil, err
		}
		*address = listener.Addr().String()
		defer listener.Close()
	}
	return n, nil
}

// startInstance starts an instance behind a proxy of its own.
func (c *cluster) startInstance(id string) (*instance.Instance, error) {
	started, err := instance.Start(instance.Options{ID: id, Slots: 6, ServiceTime: 20 * time.Millisecond, ResponseBody: responseBody})
	if err != nil {
		return nil, err
	}
	path, err := NewProxy(started.Address())
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances = append(c.instances, started)
	c.instancePaths[started] = path
	return started, nil
}

func (c *cluster) register(i *instance.Instance, version, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries[i] = entry{version, state}
	c.store.Put("servers", i.ID(), i.Entry(c.instancePaths[i].Address(), version, state))
}

// unregister removes the entry of an instance.
func (c *cluster) unregister(i *instance.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.entries, i)
	c.store.Remove("servers", i.ID())
}

// configure writes the next version of the configuration to the store. Each version adds a route
// named after it, which shows whether a node has applied it, and removes the route of two versions
// before.
func (c *cluster) configure() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	c.writeConfiguration()
}

// writeConfiguration writes the current version. The caller must hold the lock.
func (c *cluster) writeConfiguration() {
	path := func(prefix, kind string) map[string]any {
		return map[string]any{
			"name": prefix, "path-prefix": "/" + prefix + "/", "type": kind, "timeout-s": 2, "slo-s": 0.5,
			"priority": 1, "service": "s", "attempts": 2,
		}
	}
	c.store.Put("config", "main", map[string]any{
		"version":  fmt.Sprintf("%08x", c.version),
		"services": []any{map[string]any{"name": "s", "health-path": "/health", "max-conns": 260, "warmup-s": 1, "warmup-per-s": warmupRate}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1 << 20, "header-timeout-s": 3, "idle-timeout-s": 15},
		"vhosts": []any{map[string]any{"host": "h.example", "paths": []any{
			path("safe", "safe"), path("unsafe", "unsafe"), path(versionPrefix(c.version), "safe"), path(versionPrefix(c.version-1), "safe"),
		}}},
	})
}

func versionPrefix(version int) string { return fmt.Sprintf("version-%d", version) }

func (c *cluster) currentVersion() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// writeSettings writes the settings file of a node and returns its path.
func (c *cluster) writeSettings(n *node) (string, error) {
	path := filepath.Join(c.dir, n.name+".toml")
	text := fmt.Sprintf(`[self]
node = %q
zone = "dc1"
ip = "127.0.0.1"
[self.limits]
cpu-share = 1.0
cores = 1
memory-mb = 256
link-mbps = 1000.0
[network]
seeds = [%q]
[network.listen]
front = %q
ready = %q
control = %q
[network.zones]
dc1 = "r1"
[provider.provider]
address = %q
[terms.bounds]
grace-s = %v
retry-budget = 0.2
budget-window-s = 10
budget-extra = 64
canary-share = 0.1
canary-slack = 50
`, n.name, c.nodes[0].controlAddress, n.frontAddress, n.readyAddress, n.controlAddress, n.storePath.Address(), drainTimeout.Seconds())
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// start starts the process of a node. Its output is appended to a log file per node.
func (c *cluster) start(n *node) error {
	path, err := c.writeSettings(n)
	if err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(c.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(c.binary, "edge", "--settings", path)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	err = cmd.Start()
	if err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited, n.isPaused, n.isStopping = cmd, exited, false, false
	n.mu.Unlock()
	go func() {
		_ = cmd.Wait() // a process ended by a signal returns an error
		_ = logFile.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process of the node.
func (n *node) signal(signal syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.cmd.Process.Signal(signal) // the process may have exited
}

// suspendTimeBounds suspends the time bounds of the node for at least the duration.
func (n *node) suspendTimeBounds(duration time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	until := time.Now().Add(duration)
	if until.After(n.timeBoundsSuspendedUntil) {
		n.timeBoundsSuspendedUntil = until
	}
}

// faultFreeTime returns how long the node has been free of faults; negative during a fault.
func (n *node) faultFreeTime() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.timeBoundsSuspendedUntil)
}

// stop kills the nodes that are still running and stops the proxies and instances.
func (c *cluster) stop() {
	for _, n := range c.nodes {
		if n.cmd != nil {
			n.signal(syscall.SIGCONT)
			n.signal(syscall.SIGKILL)
			<-n.exited
		}
		n.storePath.Close()
	}
	for _, i := range c.instances {
		c.instancePaths[i].Close()
		i.Stop()
	}
}
