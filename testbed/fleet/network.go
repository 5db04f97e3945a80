package fleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fireflychute/fireflychute/pkg/control"
	"github.com/fireflychute/fireflychute/pkg/message"
)

// messageDelay is the time of one message from node to node.
const messageDelay = 2 * time.Millisecond

var errUnreachable = errors.New("connection cut")

// network carries messages between the nodes of one fleet. Its content is copied
// through the codec, as on a real connection.
type network struct {
	mu          sync.Mutex
	controllers map[string]*control.Controller
	// isPartitioned tells whether messages between two addresses are lost.
	isPartitioned func(from, to string) bool
	sentBytes     map[string]uint64 // sent, by address
}

func newNetwork() *network {
	return &network{controllers: map[string]*control.Controller{}, sentBytes: map[string]uint64{}}
}

func (n *network) add(address string, controller *control.Controller) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.controllers[address] = controller
}

func (n *network) remove(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.controllers, address)
}

func (n *network) setPartition(isPartitioned func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isPartitioned = isPartitioned
}

// route returns the receiver, or nil when it cannot be reached.
func (n *network) route(from, to string, size int) *control.Controller {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sentBytes[from] += uint64(size)
	if n.isPartitioned != nil && n.isPartitioned(from, to) {
		return nil
	}
	return n.controllers[to]
}

// endpoint is one node's access to the network.
type endpoint struct {
	network   *network
	pauseGate *pauseGate
	name      string
	address   string
}

// Send implements control.Peers.
func (p *endpoint) Send(to string, m message.Message) {
	p.pauseGate.waitUntilResumed()
	copied, size := p.copyThroughCodec(m)
	go func() {
		time.Sleep(messageDelay)
		receiver := p.network.route(p.address, to, size)
		if receiver != nil {
			receiver.Deliver(p.name, copied)
		}
	}()
}

// Call implements control.Peers.
func (p *endpoint) Call(ctx context.Context, to string, m message.Message) (message.Message, error) {
	p.pauseGate.waitUntilResumed()
	copied, size := p.copyThroughCodec(m)
	time.Sleep(messageDelay)
	receiver := p.network.route(p.address, to, size)
	if receiver == nil {
		<-ctx.Done()
		return message.Message{}, errUnreachable
	}
	reply := deliver(ctx, receiver, p.name, copied)
	time.Sleep(messageDelay)
	if reply == nil || p.network.route(to, p.address, reply.Msgsize()) == nil {
		<-ctx.Done()
		return message.Message{}, errUnreachable
	}
	return *reply, nil
}

// deliver returns nil when ctx ends first, as when the receiver is paused.
func deliver(ctx context.Context, receiver *control.Controller, from string, m message.Message) *message.Message {
	replies := make(chan *message.Message, 1)
	go func() { replies <- receiver.Deliver(from, m) }()
	select {
	case reply := <-replies:
		return reply
	case <-ctx.Done():
		return nil
	}
}

// copyThroughCodec encodes and decodes a message and returns its size in bytes.
func (p *endpoint) copyThroughCodec(m message.Message) (message.Message, int) {
	m.From = p.name
	m.Address = p.address
	encoded, err := m.MarshalMsg(nil)
	if err != nil {
		panic(err)
	}
	var copied message.Message
	_, err = copied.UnmarshalMsg(encoded)
	if err != nil {
		panic(err)
	}
	return copied, len(encoded)
}
