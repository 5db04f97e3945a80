package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/control"
	"github.com/fireflychute/fireflychute/pkg/explain"
	"github.com/fireflychute/fireflychute/pkg/membership"
	"github.com/fireflychute/fireflychute/pkg/message"
	"github.com/fireflychute/fireflychute/pkg/objectstore"
	"github.com/fireflychute/fireflychute/pkg/snapshot"
	"github.com/fireflychute/fireflychute/testbed/fleet"
	"github.com/fireflychute/fireflychute/testbed/metastore"
)

const (
	selfName = "self"
	// startTimeout bounds the wait for the start of a node or a fleet, and for a change to be in
	// force.
	startTimeout = 60 * time.Second
)

var errNotStarted = errors.New("did not start within a minute")

// stateSize holds the numbers that determine the size of a node's control state.
type stateSize struct {
	nodes, targets, services int
}

// node is a controller with simulated peers that only reply to pings and sync requests, so that the
// CPU time of the process is that of one node.
type node struct {
	controller *control.Controller
	backend    *control.Backend
	published  atomic.Pointer[snapshot.Snapshot]
	size       stateSize
	targets    []api.VM
	cancel     context.CancelFunc
	stopped    chan struct{}
}

// newPlatform returns a platform stand-in that stores a declaration and a VM list.
func newPlatform(s stateSize) (*metastore.Server, error) {
	server := metastore.NewServer(metastore.New())
	store := metastore.NewDirectClient(server, nil)
	manifest, blobs := manifestOf(declaration(s.services))
	for digest, blob := range blobs {
		_, err := store.Create(context.Background(), objectstore.KindBlob, digest, blob)
		if err != nil {
			return nil, err
		}
	}
	_, err := store.Create(context.Background(), objectstore.KindManifest, objectstore.ManifestName, encodeJSON(manifest))
	server.SetVMs(append(targetVMs(s.targets, s.services), nodeVMs(s.nodes)...))
	return server, err
}

// startNode starts a node and waits until it is ready.
func startNode(server *metastore.Server, s stateSize) (*node, error) {
	n := &node{size: s, targets: targetVMs(s.targets, s.services), stopped: make(chan struct{})}
	n.controller = control.New(control.Options{
		Self:                 membership.Member{Name: selfName, Address: peerAddress(0), DataCentre: fleet.DataCentres[0], Incarnation: 1},
		Seeds:                []string{peerAddress(1)},
		Store:                metastore.NewDirectClient(server, nil),
		Peers:                fakePeers{n},
		Published:            &n.published,
		HealthCheckTransport: failingProbe{},
		Random:               rand.New(rand.NewPCG(1, 1)),
		Log:                  zerolog.Nop(),
	})
	n.backend = control.NewBackend(n.controller, &explain.Ring{})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.stopped)
		_ = n.controller.Run(ctx)
	}()
	n.addPeers(1, s.nodes-1)
	if !fleet.WaitUntil(startTimeout, n.isReady) {
		return nil, errors.Wrapf(errNotStarted, "node of size %+v", s)
	}
	return n, nil
}

func (n *node) isReady() bool {
	return n.backend.Readiness().Ready && n.published.Load() != nil
}

func (n *node) stop() {
	n.cancel()
	<-n.stopped
}

// addPeers delivers gossip about count peers, starting at index first.
func (n *node) addPeers(first, count int) {
	members := []message.Member{}
	for i := first; i < first+count; i++ {
		members = append(members, message.Member{
			Name: peerName(i), Address: peerAddress(i), DataCentre: fleet.DataCentres[i%len(fleet.DataCentres)], Incarnation: 1,
		})
	}
	n.deliverGossip(&message.Gossip{Counted: n.size.nodes, Established: true, Members: members})
}

// deliverGossip delivers gossip to the node in a ping from peer 1.
func (n *node) deliverGossip(gossip *message.Gossip) {
	n.controller.Deliver(peerName(1), message.Message{
		From: peerName(1), Address: peerAddress(1), Ping: &message.Ping{Target: selfName, Gossip: gossip},
	})
}

// waitHandled returns when the controller has handled all messages delivered before. The fetch of a
// configuration is handled after them, and Deliver waits for its reply.
func (n *node) waitHandled() {
	n.controller.Deliver(peerName(1), message.Message{ConfigFetch: &message.ConfigFetch{Have: 1 << 62}})
}

func peerName(i int) string { return fmt.Sprintf("node-%03d", i) }

func peerAddress(i int) string { return fmt.Sprintf("127.1.0.%d:7946", i+1) }

func nodeVMs(count int) []api.VM {
	vms := []api.VM{}
	for i := range count {
		vms = append(vms, api.VM{Address: peerAddress(i), Role: "node", DataCentre: fleet.DataCentres[i%len(fleet.DataCentres)], State: api.VMStateLive})
	}
	return vms
}

// fakePeers simulates established peers that confirm the node's view of the fleet.
type fakePeers struct{ node *node }

// Send implements control.Peers.
func (p fakePeers) Send(to string, m message.Message) {
	reply := message.Message{Address: to}
	switch {
	case m.Ping != nil && m.Ping.Sequence != 0:
		reply.From = m.Ping.Target
		if reply.From == "" {
			reply.From = peerName(1)
		}
		reply.Ack = &message.Ack{
			Sequence: m.Ping.Sequence, Target: reply.From, Gossip: &message.Gossip{Counted: p.node.size.nodes, Established: true},
		}
	case m.SyncRequest != nil:
		reply.From = peerName(1)
		reply.SyncReply = &message.SyncReply{Sequence: m.SyncRequest.Sequence, Established: true}
	default:
		return
	}
	go p.node.controller.Deliver(reply.From, reply)
}

// Call implements control.Peers.
func (fakePeers) Call(context.Context, string, message.Message) (message.Message, error) {
	return message.Message{}, errors.New("simulated peers serve no fetches")
}

// failingProbe fails every probe at once, without network or CPU cost.
type failingProbe struct{}

// RoundTrip implements http.RoundTripper.
func (failingProbe) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, errors.New("probes are disabled in this measurement")
}
