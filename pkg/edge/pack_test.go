package edge

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/message"
)

// largeConfiguration is a configuration of about 1 MB.
func largeConfiguration() []byte {
	var text bytes.Buffer
	for i := range 5000 {
		fmt.Fprintf(&text, `{"name":"r-%d","path-prefix":"/p%d/","type":"safe","timeout-s":2,"slo-s":0.6,"priority":2,"service":"s","attempts":2,"padding":"                                                   "},`, i, i)
	}
	return text.Bytes()
}

// Guards against a large configuration that takes seconds on the links of small
// nodes: at 10 Mbit/s, 100 KB take 80 ms.
func TestLargeRepliesAreCompressed(t *testing.T) {
	g := NewWithT(t)
	spec := largeConfiguration()
	reply := &message.ReplicaAnswer{StaleMs: 7, Deltas: []message.ReplicaDelta{{AsOf: 9, Objects: []message.ReplicaObject{{Name: "main", Revision: 9, Spec: string(spec)}}}}}
	var encoder replyEncoder
	encoded, err := encoder.encode("a", reply)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(encoded.Packed)).To(BeNumerically("<", 100<<10))
	g.Expect(encoded.StaleMs).To(Equal(7))
	deltas, err := decodeDeltas(encoded)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(deltas).To(Equal(reply.Deltas))
}

// Guards against an answer that was made for another position being sent, and
// against kept answers that grow without bound.
func TestCachedRepliesBelongToAPosition(t *testing.T) {
	g := NewWithT(t)
	var encoder replyEncoder
	for i := range 3 * maxCachedReplies {
		spec := append(largeConfiguration(), byte('0'+i%10))
		reply := &message.ReplicaAnswer{Deltas: []message.ReplicaDelta{{AsOf: uint64(i), Objects: []message.ReplicaObject{{Spec: string(spec)}}}}}
		encoded, err := encoder.encode(fmt.Sprint(i), reply)
		g.Expect(err).NotTo(HaveOccurred())
		deltas, err := decodeDeltas(encoded)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(deltas[0].AsOf).To(Equal(uint64(i)))
	}
	g.Expect(encoder.cached).To(HaveLen(maxCachedReplies))
}

// Guards against small changes paying for compression, and against damaged answers
// being taken for empty ones.
func TestSmallAndDamagedReplies(t *testing.T) {
	g := NewWithT(t)
	small := &message.ReplicaAnswer{Deltas: []message.ReplicaDelta{{AsOf: 1}}}
	var encoder replyEncoder
	encoded, err := encoder.encode("a", small)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(encoded).To(BeIdenticalTo(small))
	_, err = decodeDeltas(&message.ReplicaAnswer{Packed: "damaged"})
	g.Expect(err).To(HaveOccurred())
}
