package soak

import (
	"net"
	"sync"
	"time"
)

// Trouble is what a Proxy does to the connections through it.
type Trouble int

// Troubles of a path.
const (
	// Calm passes everything on.
	Calm Trouble = iota
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
	to       string

	mu      sync.Mutex
	trouble Trouble
	conns   map[net.Conn]bool
}

// NewProxy returns a path to an address.
func NewProxy(to string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, to: to, conns: map[net.Conn]bool{}}
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

// Set changes the trouble on the path.
func (p *Proxy) Set(trouble Trouble) {
	p.mu.Lock()
	p.trouble = trouble
	p.mu.Unlock()
	if trouble == Reset {
		p.closeAll()
	}
}

func (p *Proxy) current() Trouble {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.trouble
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
		if p.current() == Reset {
			_ = conn.Close()
			continue
		}
		go p.serve(conn)
	}
}

func (p *Proxy) serve(near net.Conn) {
	far, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = near.Close()
		return
	}
	p.mu.Lock()
	p.conns[near], p.conns[far] = true, true
	p.mu.Unlock()
	go p.copy(far, near, false)
	p.copy(near, far, true)
}

// copy passes bytes on until one side ends. answers tells the direction.
func (p *Proxy) copy(to, from net.Conn, answers bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		for {
			trouble := p.current()
			if trouble != Silent && (trouble != OneWay || !answers) {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		if p.current() == Delayed {
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
