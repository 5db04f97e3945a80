package soak

import (
	"net"
	"sync"
	"time"
)

// PathFault is what a Proxy does to the connections through it.
type PathFault int

// Troubles of a path.
const (
	// NoFault passes everything on.
	NoFault PathFault = iota
	// Delayed holds each piece back for a while.
	Delayed
	// Reset closes all connections at once, and new ones as they come.
	Reset
	// Silent passes nothing on in either direction.
	Silent
	// OneWay passes requests on and no answers.
	OneWay
)

// delay is how long Delayed holds a piece back.
const delay = 150 * time.Millisecond

// Proxy is a loopback path between a node and another part.
type Proxy struct {
	listener net.Listener
	upstream string

	mu    sync.Mutex
	fault PathFault
	conns map[net.Conn]bool
}

// NewProxy returns a path to an address.
func NewProxy(upstream string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, upstream: upstream, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Address is where the path begins.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close ends the path.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.closeAll()
}

// SetFault changes the trouble on the path.
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

// forward passes bytes on until one side ends. answers tells the direction.
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
			return // both ends of a connection end together
		}
	}
}
