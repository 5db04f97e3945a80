package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/control"
	"github.com/fireflychute/fireflychute/pkg/explain"
	"github.com/fireflychute/fireflychute/pkg/membership"
	"github.com/fireflychute/fireflychute/pkg/objectstore"
	"github.com/fireflychute/fireflychute/pkg/operator"
	"github.com/fireflychute/fireflychute/pkg/snapshot"
	"github.com/fireflychute/fireflychute/testbed/metastore"
)

// DataCentres are the data centres over which nodes and targets are spread.
var DataCentres = []string{"north", "middle", "south"}

// Fleet is a set of nodes with a platform stand-in and an in-memory network.
type Fleet struct {
	Platform   *metastore.Server
	Nodes      []*Node
	network    *network
	seeds      []string
	startCount uint64
	// WrapStore wraps the store that each node uses. It may be nil.
	WrapStore func(objectstore.Store) objectstore.Store
	// Log receives the nodes' log lines; New sets a logger that discards them.
	Log zerolog.Logger
	// OnCall runs before each call of a node to the platform is sent and after its
	// response arrived, on the goroutine of the call. It must be set before nodes
	// start; it may be nil.
	OnCall func(Call)
}

// Node is one node of the fleet.
type Node struct {
	Name       string
	Address    string
	DataCentre string
	Controller *control.Controller
	Backend    *control.Backend
	Published  *atomic.Pointer[snapshot.Snapshot]
	// PlatformUnreachable makes all calls of the node to the platform fail.
	PlatformUnreachable atomic.Bool
	pauseGate           pauseGate
	operator            *operator.Server
	cancel              context.CancelFunc
	stopped             chan struct{}
}

// New returns a fleet without nodes.
func New() *Fleet {
	return &Fleet{
		Platform: metastore.NewLimitedServer(metastore.New(), metastore.DefaultReadRate, metastore.DefaultWriteRate),
		network:  newNetwork(),
		Log:      zerolog.Nop(),
	}
}

// Start starts count nodes.
func (f *Fleet) Start(count int) {
	for range count {
		f.StartNode()
	}
}

// StartNode adds a node and starts it. Its seed nodes are up to three of the fleet's first nodes.
func (f *Fleet) StartNode() *Node {
	i := len(f.Nodes)
	node := &Node{
		Name: fmt.Sprintf("node-%02d", i), Address: nodeAddress(i), DataCentre: DataCentres[i%len(DataCentres)],
	}
	f.Nodes = append(f.Nodes, node)
	if len(f.seeds) < 3 {
		f.seeds = append(f.seeds, node.Address)
	}
	f.startController(node)
	return node
}

func nodeAddress(i int) string {
	return fmt.Sprintf("127.1.0.%d:7946", i+1)
}

// Restart starts a killed or stopped node again, with a new incarnation.
func (f *Fleet) Restart(node *Node) {
	f.startController(node)
}

func (f *Fleet) startController(node *Node) {
	f.startCount++
	node.Published = &atomic.Pointer[snapshot.Snapshot]{}
	node.stopped = make(chan struct{})
	base := metastore.NewDirectClient(f.Platform, func() bool { return !node.PlatformUnreachable.Load() })
	if f.WrapStore != nil {
		base = f.WrapStore(base)
	}
	store := nodeStore{Store: base, node: node, hook: f.OnCall}
	node.Controller = control.New(control.Options{
		Self: membership.Member{
			Name: node.Name, Address: node.Address, DataCentre: node.DataCentre, Incarnation: f.startCount,
		},
		Seeds:                f.seeds,
		Store:                store,
		Peers:                &endpoint{network: f.network, pauseGate: &node.pauseGate, name: node.Name, address: node.Address},
		Published:            node.Published,
		HealthCheckTransport: failingTransport{},
		Random:               rand.New(rand.NewPCG(f.startCount, 1)),
		Log:                  f.Log.With().Str("node", node.Name).Logger(),
	})
	node.Backend = control.NewBackend(node.Controller, &explain.Ring{})
	node.operator = operator.NewServer(operator.Options{
		Store: store, Backend: node.Backend, OnCommit: node.Controller.Committed,
	})
	f.network.add(node.Address, node.Controller)
	ctx, cancel := context.WithCancel(context.Background())
	node.cancel = cancel
	controller, stopped := node.Controller, node.stopped
	go func() {
		defer close(stopped)
		_ = controller.Run(ctx)
	}()
}

// Stop shuts a node down gracefully.
func (f *Fleet) Stop(node *Node) {
	node.cancel()
	<-node.stopped
	f.network.remove(node.Address)
}

// Kill cuts a node off from the platform and from its peers' messages and then stops it, so
// that its leases expire instead of being released. Messages that it sends still reach its
// peers, its leave message among them.
func (f *Fleet) Kill(node *Node) {
	f.network.remove(node.Address)
	node.PlatformUnreachable.Store(true)
	node.cancel()
	<-node.stopped
	node.PlatformUnreachable.Store(false)
}

// Pause blocks a node at its next message or platform call. After Resume it continues
// from there, and may act on a time that it read before the pause.
func (f *Fleet) Pause(node *Node) {
	node.pauseGate.pause()
}

// Resume ends a pause started by Pause.
func (f *Fleet) Resume(node *Node) {
	node.pauseGate.resume()
}

// Stopped reports whether the node's controller has returned.
func (n *Node) Stopped() bool {
	select {
	case <-n.stopped:
		return true
	default:
		return false
	}
}

// settleTime exceeds the duration of any call still in flight when a node stops.
const settleTime = 30 * time.Second

// StopAll stops all nodes, paused ones included, and waits for their calls to end.
func (f *Fleet) StopAll() {
	for _, node := range f.Nodes {
		node.pauseGate.resume()
		node.cancel()
	}
	for _, node := range f.Nodes {
		<-node.stopped
	}
	time.Sleep(settleTime)
}

// Partition drops all messages between nodes for which side returns different values.
func (f *Fleet) Partition(side func(address string) int) {
	f.network.setPartition(func(from, to string) bool { return side(from) != side(to) })
}

// Heal ends a partition.
func (f *Fleet) Heal() {
	f.network.setPartition(nil)
}

// BytesSent returns the number of bytes that a node sent to other nodes.
func (f *Fleet) BytesSent(node *Node) uint64 {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	return f.network.sentBytes[node.Address]
}

// PublishVMs sets the platform's list of VMs to the fleet's nodes and the given targets.
func (f *Fleet) PublishVMs(targets []api.VM) {
	vms := append([]api.VM{}, targets...)
	for _, node := range f.Nodes {
		vms = append(vms, api.VM{Address: node.Address, Role: "node", DataCentre: node.DataCentre, State: api.VMStateLive})
	}
	f.Platform.SetVMs(vms)
}

// Targets returns count live targets of a service, spread over the data centres. Their
// addresses are numbered from first.
func Targets(service, version string, first, count int) []api.VM {
	vms := []api.VM{}
	for i := range count {
		vms = append(vms, api.VM{
			Address: fmt.Sprintf("127.2.%d.%d:8080", (first+i)/250, (first+i)%250+1), Role: "target", Service: service,
			DataCentre: DataCentres[i%len(DataCentres)], Version: version, State: api.VMStateLive,
		})
	}
	return vms
}

// Apply applies objects through a node's resource API and returns the HTTP status
// and the decoded response.
func (n *Node) Apply(request operator.ApplyRequest) (int, operator.ApplyResult) {
	body, err := json.Marshal(request)
	if err != nil {
		panic(err)
	}
	recorder := httptest.NewRecorder()
	n.operator.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/v1/apply", bytes.NewReader(body)))
	var result operator.ApplyResult
	_ = json.Unmarshal(recorder.Body.Bytes(), &result)
	return recorder.Code, result
}

// Revision returns the configuration revision of the node's published snapshot, or 0
// without one.
func (n *Node) Revision() uint64 {
	current := n.Published.Load()
	if current == nil {
		return 0
	}
	return current.Revision
}

// WaitUntil polls a condition and reports whether it became true within the limit.
func WaitUntil(limit time.Duration, condition func() bool) bool {
	const step = 50 * time.Millisecond
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(step) {
		if condition() {
			return true
		}
	}
	return condition()
}

// failingTransport fails every load probe.
type failingTransport struct{}

// RoundTrip implements http.RoundTripper.
func (failingTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, errUnreachable
}
