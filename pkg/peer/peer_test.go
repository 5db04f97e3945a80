package peer

import (
	"context"
	"encoding/binary"
	"net"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/message"
)

func fetchMessage(have uint64) Message {
	return Message{ConfigFetch: &message.ConfigFetch{Have: have}}
}

func replyWithRevision(_ string, received Message) *Message {
	return &Message{ConfigDelta: &message.ConfigDelta{Revision: received.ConfigFetch.Have + 1}}
}

func listen(t *testing.T, handle func(string, Message) *Message) *Server {
	server, err := Listen("127.0.0.1:0", nil, handle)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = server.Close() })
	return server
}

func newTestClient(t *testing.T) *Client {
	client := NewClient("a", nil)
	t.Cleanup(client.Close)
	return client
}

// Guards against answers given to the wrong call and against one connection per message.
func TestCallsShareOneConnection(t *testing.T) {
	g := NewWithT(t)
	senders := make(chan string, 100)
	server := listen(t, func(from string, received Message) *Message {
		senders <- from
		return replyWithRevision(from, received)
	})
	client := newTestClient(t)
	client.Send(server.Address(), fetchMessage(1))
	for have := range uint64(20) {
		reply, err := client.Call(context.Background(), server.Address(), fetchMessage(have))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.ConfigDelta.Revision).To(Equal(have + 1))
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	g.Expect(server.connections).To(HaveLen(1))
	g.Expect(senders).To(HaveLen(21))
	g.Expect(<-senders).To(Equal("a"))
}

// Guards against a sender that waits for a peer that does not read, and against a
// queue without bound.
func TestSendDoesNotBlockOnStalledPeer(t *testing.T) {
	g := NewWithT(t)
	stalled, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = stalled.Close() }()
	client := newTestClient(t)
	large := Message{ConfigDelta: &message.ConfigDelta{Blobs: []message.ConfigBlob{{Value: make([]byte, MaxFrameBytes/2)}}}}
	for range 4 * queueLength {
		client.Send(stalled.Addr().String(), large)
	}
	g.Expect(client.Dropped()).To(BeNumerically(">", 0))
	_, err = client.Call(context.Background(), stalled.Addr().String(), fetchMessage(1))
	g.Expect(err).To(MatchError(ErrQueueFull))
	g.Expect(err).To(MatchError(ContainSubstring(stalled.Addr().String())))
}

// Guards against a call that waits for ever after its peer stopped, and against a
// client that does not come back to a restarted peer.
func TestCallFailsWhenPeerStopsAndRecovers(t *testing.T) {
	g := NewWithT(t)
	client := newTestClient(t)
	reached, release := make(chan bool, 1), make(chan bool)
	server := listen(t, func(string, Message) *Message {
		reached <- true
		<-release
		return nil
	})
	address := server.Address()
	go func() {
		<-reached
		server.mu.Lock()
		for connection := range server.connections {
			_ = connection.Close()
		}
		server.mu.Unlock()
	}()
	_, err := client.Call(context.Background(), address, fetchMessage(1))
	g.Expect(err).To(MatchError(ErrDisconnected))
	close(release)
	g.Expect(server.Close()).To(Succeed())
	restarted, err := Listen(address, nil, replyWithRevision)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = restarted.Close() }()
	reply, err := client.Call(context.Background(), address, fetchMessage(4))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.ConfigDelta.Revision).To(BeEquivalentTo(5))
}

// Guards against a peer that makes the node read a frame of any size or content.
func TestServerEndsConnectionOnBadFrame(t *testing.T) {
	for name, frame := range map[string][]byte{
		"too large":   binary.BigEndian.AppendUint32(nil, MaxFrameBytes+1),
		"not msgpack": append(binary.BigEndian.AppendUint32(nil, 2), 0xc1, 0xc1),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			handled := atomic.Int32{}
			server := listen(t, func(string, Message) *Message { handled.Add(1); return nil })
			raw, err := net.Dial("tcp", server.Address())
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = raw.Close() }()
			_, err = raw.Write(frame)
			g.Expect(err).NotTo(HaveOccurred())
			_, err = raw.Read(make([]byte, 1))
			g.Expect(err).To(HaveOccurred())
			g.Expect(handled.Load()).To(BeZero())
		})
	}
	_, err := newTestClient(t).Call(context.Background(), "127.0.0.1:1", Message{Address: string(make([]byte, MaxFrameBytes))})
	NewWithT(t).Expect(err).To(MatchError(ErrFrameTooLarge))
}
