package soak

import (
	"net"
	"sync"
	"time"
)

// PathFault is a fault that a Proxy applies to its connections.
type PathFault int

// Faults of a network path.
const (
	// NoFault forwards all data.
	NoFault PathFault = iota
	// Delayed delays each chunk of data.
	Delayed
	// Reset closes all connections immediately, and new ones when they are accepted.
	Reset
	// Silent forwards nothing in either direction.
	Silent
	// OneWay forwards requests but no responses.
	OneWay
)

// delay is the time by which Delayed delays each chunk.
const delay = 150 * time.Millisecond

// Proxy is a TCP proxy on loopback that injects faults between a node and its upstream.
type Proxy struct {
	listener net.Listener
	upstream string

	mu    sync.Mutex
	fault PathFault
	conns map[net.Conn]bool
}

// NewProxy starts a proxy to the upstream address; Close stops it.
func NewProxy(upstream string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, upstream: upstream, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close stops the proxy and closes all its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.closeAll()
}

// SetFault replaces the current fault.
func (p *Proxy) SetFault(fault PathFault) {
	p.mu.Lock()
	p.fault = fault
	p.mu.Unlock()
	if fault == Reset {
		p.closeAll()
	}
}

func (p *Proxy) currentFault() PathFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *Proxy) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		_ = conn.Close()
	}
	clear(p.conns)
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentFault() == Reset {
			_ = conn.Close()
			continue
		}
		go p.serve(conn)
	}
}

func (p *Proxy) serve(client net.Conn) {
	upstream, err := net.Dial("tcp", p.upstream)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[upstream] = true, true
	p.mu.Unlock()
	go p.forward(upstream, client, false)
	p.forward(client, upstream, true)
}

// forward copies bytes until one side closes. isResponse is true from the upstream to the client.
func (p *Proxy) forward(to, from net.Conn, isResponse bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		for {
			fault := p.currentFault()
			if fault != Silent && (fault != OneWay || !isResponse) {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		if p.currentFault() == Delayed {
			time.Sleep(delay)
		}
		if n > 0 {
			_, writeErr := to.Write(buffer[:n])
			if writeErr != nil {
				return
			}
		}
		if err != nil {
			return // closing one connection closes its counterpart
		}
	}
}
