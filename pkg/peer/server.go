package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// handshakeTimeout bounds how long an unauthenticated connection stays open.
	handshakeTimeout = 5 * time.Second
	// frameTimeout bounds the time to read a frame after its first byte has arrived.
	frameTimeout = 10 * time.Second
	writeTimeout = 10 * time.Second
)

// Limits bounds the resources used by the connections of a server.
type Limits struct {
	// IdleTime is the time without frames after which a connection is closed.
	IdleTime time.Duration
	// MaxConnections is the maximum number of concurrent connections.
	MaxConnections int
}

// DefaultLimits returns limits for fleets of up to 150 nodes: members ping each other at intervals
// shorter than the idle time, and MaxConnections exceeds the connections in the largest fleet.
func DefaultLimits() Limits {
	return Limits{IdleTime: 2 * time.Minute, MaxConnections: 1024}
}

// Server accepts connections from peers and passes their messages to a handler.
type Server struct {
	listener    net.Listener
	tls         *tls.Config
	limits      Limits
	handle      func(from string, message Message) *Message
	mu          sync.Mutex
	connections map[net.Conn]bool
	closed      bool
	traffic     Traffic
	done        sync.WaitGroup
}

// Listen starts a server with DefaultLimits. The handler is called on the connection's goroutine
// with the sender name stated in the message; its result, if not nil, is the reply to a call. With
// a TLS configuration whose ClientAuth is tls.RequireAndVerifyClientCert, a peer without an
// accepted certificate is rejected before any frame is read.
func Listen(address string, config *tls.Config, handle func(from string, message Message) *Message) (*Server, error) {
	return ListenWithLimits(address, config, DefaultLimits(), handle)
}

// ListenWithLimits is Listen with the given limits.
func ListenWithLimits(address string, config *tls.Config, limits Limits, handle func(from string, message Message) *Message) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, wrapError("listen", address, err)
	}
	s := &Server{listener: listener, tls: config, limits: limits, handle: handle, connections: map[net.Conn]bool{}}
	s.done.Add(1)
	go s.acceptLoop()
	return s, nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Traffic returns the byte counters of the server's connections.
func (s *Server) Traffic() *Traffic {
	return &s.traffic
}

// Close stops the server, closes its connections and waits for its handlers.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	err := s.listener.Close()
	for connection := range s.connections {
		_ = connection.Close()
	}
	s.mu.Unlock()
	s.done.Wait()
	return wrapError("close", s.Address(), err)
}

func (s *Server) acceptLoop() {
	defer s.done.Done()
	for {
		connection, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// For example too many open files. Retry after a delay, in which other connections may
			// be closed.
			time.Sleep(100 * time.Millisecond)
			continue
		}
		if !s.register(connection) {
			_ = connection.Close()
			continue
		}
		go s.serve(connection)
	}
}

// register tracks a new connection. It returns false if the server is closed or at its limit.
func (s *Server) register(connection net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.connections) >= s.limits.MaxConnections {
		return false
	}
	s.connections[connection] = true
	s.done.Add(1)
	return true
}

func (s *Server) serve(raw net.Conn) {
	defer s.done.Done()
	defer func() {
		s.mu.Lock()
		delete(s.connections, raw)
		s.mu.Unlock()
		_ = raw.Close()
	}()
	connection := raw
	if s.tls != nil {
		secured := tls.Server(raw, s.tls)
		ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
		err := secured.HandshakeContext(ctx)
		cancel()
		if err != nil {
			return
		}
		connection = secured
	}
	reader := bufio.NewReader(s.traffic.countReads(connection))
	for s.handleFrame(connection, reader) == nil {
	}
}

// handleFrame reads one frame, calls the handler and replies if the message is a call.
func (s *Server) handleFrame(connection net.Conn, reader *bufio.Reader) error {
	received, err := waitForFrame(connection, reader, s.limits.IdleTime)
	if err != nil {
		return err
	}
	reply := s.handle(received.From, received)
	if received.Call == 0 {
		return nil
	}
	if reply == nil {
		reply = &Message{}
	}
	reply.Call = received.Call
	frame, err := encodeFrame(reply)
	if err != nil {
		return err
	}
	err = writeFrame(connection, frame)
	if err == nil {
		s.traffic.sent.Add(uint64(len(frame)))
	}
	return err
}

// waitForFrame reads the next frame. It waits up to the idle time for its first byte.
func waitForFrame(connection net.Conn, reader *bufio.Reader, idle time.Duration) (Message, error) {
	if err := connection.SetReadDeadline(time.Now().Add(idle)); err != nil {
		return Message{}, err
	}
	if _, err := reader.Peek(1); err != nil {
		return Message{}, err
	}
	if err := connection.SetReadDeadline(time.Now().Add(frameTimeout)); err != nil {
		return Message{}, err
	}
	return readFrame(reader)
}

func writeFrame(connection net.Conn, frame []byte) error {
	if err := connection.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := connection.Write(frame)
	return err
}
