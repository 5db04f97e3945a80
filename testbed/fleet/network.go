package fleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fireflychute/fireflychute/pkg/control"
	"github.com/fireflychute/fireflychute/pkg/message"
)

// delay is the time of one message from node to node.
const delay = 2 * time.Millisecond

var errCut = errors.New("connection cut")

// network carries messages between the nodes of one fleet. Its content is copied
// through the codec, as on a real connection.
type network struct {
	mu    sync.Mutex
	nodes map[string]*control.Controller
	// cut tells whether messages between two addresses are lost.
	cut   func(from, to string) bool
	bytes map[string]uint64 // sent, by address
}

func newNetwork() *network {
	return &network{nodes: map[string]*control.Controller{}, bytes: map[string]uint64{}}
}

func (n *network) add(address string, controller *control.Controller) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[address] = controller
}

func (n *network) remove(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, address)
}

func (n *network) setCut(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// route returns the receiver, or nil when it cannot be reached.
func (n *network) route(from, to string, size int) *control.Controller {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes[from] += uint64(size)
	if n.cut != nil && n.cut(from, to) {
		return nil
	}
	return n.nodes[to]
}

// port is one node's access to the network.
type port struct {
	network *network
	gate    *gate
	name    string
	address string
}

// Send implements control.Peers.
func (p *port) Send(to string, m message.Message) {
	p.gate.pass()
	copied, size := p.seal(m)
	go func() {
		time.Sleep(delay)
		receiver := p.network.route(p.address, to, size)
		if receiver != nil {
			receiver.Deliver(p.name, copied)
		}
	}()
}

// Call implements control.Peers.
func (p *port) Call(ctx context.Context, to string, m message.Message) (message.Message, error) {
	p.gate.pass()
	copied, size := p.seal(m)
	time.Sleep(delay)
	receiver := p.network.route(p.address, to, size)
	if receiver == nil {
		<-ctx.Done()
		return message.Message{}, errCut
	}
	answer := deliver(ctx, receiver, p.name, copied)
	time.Sleep(delay)
	if answer == nil || p.network.route(to, p.address, answer.Msgsize()) == nil {
		<-ctx.Done()
		return message.Message{}, errCut
	}
	return *answer, nil
}

// deliver returns nil when ctx ends first, as when the receiver is paused.
func deliver(ctx context.Context, receiver *control.Controller, from string, m message.Message) *message.Message {
	answered := make(chan *message.Message, 1)
	go func() { answered <- receiver.Deliver(from, m) }()
	select {
	case answer := <-answered:
		return answer
	case <-ctx.Done():
		return nil
	}
}

// seal encodes and decodes a message and returns its size in bytes.
func (p *port) seal(m message.Message) (message.Message, int) {
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
