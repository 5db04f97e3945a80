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

// Sizes of a soak.
const (
	nodeCount     = 4
	instanceCount = 5
	responseBody  = "soak answer"
	drainTimeout  = 3 * time.Second
)

// cluster is the processes and stand-ins of one soak.
type cluster struct {
	dir          string
	binary       string
	store        *metastore.Store
	server       *metastore.Server
	storeAddress string
	nodes        []*node
	instances    []*instance.Instance
	// instancePaths are between the nodes and each instance.
	instancePaths map[*instance.Instance]*Proxy
	mu            sync.Mutex
	// version is that of the configuration in the store.
	version int
}

// node is one process and its path to the store.
type node struct {
	name, frontAddress, readyAddress, controlAddress string
	storePath                                        *Proxy
	mu                                               sync.Mutex
	cmd                                              *exec.Cmd
	exited                                           chan struct{}
	// disturbedUntil is until when the node is not held to time bounds.
	disturbedUntil time.Time
	isPaused       bool
	isStopping     bool
}

func newCluster(dir, binary string) (*cluster, error) {
	w := &cluster{dir: dir, binary: binary, store: metastore.New(), instancePaths: map[*instance.Instance]*Proxy{}}
	w.server = metastore.NewServer(w.store)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, w.server) }() // ends with the process
	w.storeAddress = listener.Addr().String()
	for i := range instanceCount {
		started, err := w.startInstance(fmt.Sprintf("i-%d", i))
		if err != nil {
			return nil, err
		}
		w.register(started, "v1", "ready")
	}
	w.configure()
	for i := range nodeCount {
		n, err := w.newNode(i)
		if err != nil {
			return nil, err
		}
		w.nodes = append(w.nodes, n)
	}
	return w, nil
}

// loopbackNetwork is the part of the loopback network of the soak's nodes.
const loopbackNetwork = 8

func (w *cluster) newNode(i int) (*node, error) {
	path, err := NewProxy(w.storeAddress)
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

// startInstance starts an instance behind a path of its own.
func (w *cluster) startInstance(id string) (*instance.Instance, error) {
	started, err := instance.Start(instance.Options{ID: id, Slots: 6, ServiceTime: 20 * time.Millisecond, ResponseBody: responseBody})
	if err != nil {
		return nil, err
	}
	path, err := NewProxy(started.Address())
	if err != nil {
		return nil, err
	}
	w.instances = append(w.instances, started)
	w.instancePaths[started] = path
	return started, nil
}

func (w *cluster) register(i *instance.Instance, version, state string) {
	w.store.Put("servers", i.ID(), i.Entry(w.instancePaths[i].Address(), version, state))
}

// configure writes the next version. Each version adds a route that names it, by
// which callers see what is in force at a node, and drops that of two versions before.
func (w *cluster) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	path := func(prefix, kind string) map[string]any {
		return map[string]any{
			"name": prefix, "path-prefix": "/" + prefix + "/", "type": kind, "timeout-s": 2, "slo-s": 0.5,
			"priority": 1, "service": "s", "attempts": 2,
		}
	}
	w.store.Put("config", "main", map[string]any{
		"version":  fmt.Sprintf("%08x", w.version),
		"services": []any{map[string]any{"name": "s", "health-path": "/health", "max-conns": 260, "warmup-s": 1, "warmup-per-s": 10}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1 << 20, "header-timeout-s": 3, "idle-timeout-s": 15},
		"vhosts": []any{map[string]any{"host": "h.example", "paths": []any{
			path("safe", "safe"), path("unsafe", "unsafe"), path(versionPrefix(w.version), "safe"), path(versionPrefix(w.version-1), "safe"),
		}}},
	})
}

func versionPrefix(version int) string { return fmt.Sprintf("version-%d", version) }

func (w *cluster) currentVersion() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

// writeSettings writes a node's settings file and returns its path.
func (w *cluster) writeSettings(n *node) (string, error) {
	path := filepath.Join(w.dir, n.name+".toml")
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
`, n.name, w.nodes[0].controlAddress, n.frontAddress, n.readyAddress, n.controlAddress, n.storePath.Address(), drainTimeout.Seconds())
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// start starts a node's process; its lines go to a file of its own.
func (w *cluster) start(n *node) error {
	path, err := w.writeSettings(n)
	if err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(w.binary, "edge", "--settings", path)
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
		_ = cmd.Wait() // signals end it with an error
		_ = logFile.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to a node's process.
func (n *node) signal(signal syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.cmd.Process.Signal(signal) // it may have ended by itself
}

// disturb notes that the node is disturbed now and for a time.
func (n *node) disturb(duration time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	until := time.Now().Add(duration)
	if until.After(n.disturbedUntil) {
		n.disturbedUntil = until
	}
}

// undisturbedFor tells for how long the node has been undisturbed.
func (n *node) undisturbedFor() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.disturbedUntil)
}

// stop kills what is left and ends the stand-ins.
func (w *cluster) stop() {
	for _, n := range w.nodes {
		if n.cmd != nil {
			n.signal(syscall.SIGCONT)
			n.signal(syscall.SIGKILL)
			<-n.exited
		}
		n.storePath.Close()
	}
	for _, i := range w.instances {
		w.instancePaths[i].Close()
		i.Stop()
	}
}
