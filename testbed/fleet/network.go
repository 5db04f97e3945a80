package fleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fireflychute/fireflychute/pkg/control"
	"github.com/fireflychute/fireflychute/pkg/message"
)

// messageDelay is the one-way latency of a message between nodes.
const messageDelay = 2 * time.Millisecond

var errUnreachable = errors.New("peer unreachable")

// network carries messages between the nodes of one fleet. Messages are encoded and
// decoded, as on a real connection, so that nodes share no memory.
type network struct {
	mu          sync.Mutex
	controllers map[string]*control.Controller
	// isPartitioned reports whether messages between two addresses are dropped; nil drops none.
	isPartitioned func(from, to string) bool
	sentBytes     map[string]uint64 // bytes sent, by sender address
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

// route adds size to the bytes sent by from and returns the receiver, or nil if it is
// unreachable.
func (n *network) route(from, to string, size int) *control.Controller {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sentBytes[from] += uint64(size)
	if n.isPartitioned != nil && n.isPartitioned(from, to) {
		return nil
	}
	return n.controllers[to]
}

// endpoint implements control.Peers for one node.
type endpoint struct {
	network   *network
	pauseGate *pauseGate
	name      string
	address   string
}

// Send implements control.Peers.
func (e *endpoint) Send(to string, m message.Message) {
	e.pauseGate.waitUntilResumed()
	copied, size := e.copyThroughCodec(m)
	go func() {
		time.Sleep(messageDelay)
		receiver := e.network.route(e.address, to, size)
		if receiver != nil {
			receiver.Deliver(e.name, copied)
		}
	}()
}

// Call implements control.Peers.
func (e *endpoint) Call(ctx context.Context, to string, m message.Message) (message.Message, error) {
	e.pauseGate.waitUntilResumed()
	copied, size := e.copyThroughCodec(m)
	time.Sleep(messageDelay)
	receiver := e.network.route(e.address, to, size)
	if receiver == nil {
		<-ctx.Done()
		return message.Message{}, errUnreachable
	}
	reply := deliver(ctx, receiver, e.name, copied)
	time.Sleep(messageDelay)
	if reply == nil || e.network.route(to, e.address, reply.Msgsize()) == nil {
		<-ctx.Done()
		return message.Message{}, errUnreachable
	}
	return *reply, nil
}

// deliver passes a message to the receiver and returns its reply, or nil if ctx ends first,
// for example because the receiver is paused.
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

// copyThroughCodec sets the sender, encodes and decodes a message, and returns the copy
// and its encoded size in bytes.
func (e *endpoint) copyThroughCodec(m message.Message) (message.Message, int) {
	m.From = e.name
	m.Address = e.address
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
