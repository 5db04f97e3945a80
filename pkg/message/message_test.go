package message

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a generated codec that loses a field or grows the gossip encoding.
func TestMessageRoundTrip(t *testing.T) {
	g := NewWithT(t)
	sent := Message{From: "a", Address: "127.0.0.1:1", Ping: &Ping{Sequence: 7, Target: "b", Gossip: &Gossip{
		Counted: 19,
		Members: []Member{{Name: "c", Address: "127.0.0.1:2", DataCentre: "north", Incarnation: 1 << 60, Revision: 9, State: 2}},
		Facts:   []Fact{{Key: "k", Epoch: 1, Version: 2, Value: []byte{3}}},
		Applied: []Applied{{Name: "c", Incarnation: 4, Revision: 5}},
	}}}
	encoded, err := sent.MarshalMsg(nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(encoded)).To(BeNumerically("<", 160))
	received := Message{}
	_, err = received.UnmarshalMsg(encoded)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(received).To(Equal(sent))
}

// Guards against a frame of a few bytes that makes the receiver allocate gigabytes.
func TestHugeArrayLengthIsRejected(t *testing.T) {
	g := NewWithT(t)
	reply := SyncReply{}
	_, err := reply.UnmarshalMsg([]byte("\x81\xa7members\xdd\x7f\xff\xff\xff"))
	g.Expect(err).To(HaveOccurred())
}
