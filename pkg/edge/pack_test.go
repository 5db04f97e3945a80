package edge

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/message"
)

// manyRoutes is a configuration of about 1 MB.
func manyRoutes() []byte {
	var text bytes.Buffer
	for i := range 5000 {
		fmt.Fprintf(&text, `{"name":"r-%d","path-prefix":"/p%d/","type":"safe","timeout-s":2,"slo-s":0.6,"priority":2,"service":"s","attempts":2,"padding":"                                                   "},`, i, i)
	}
	return text.Bytes()
}

// Guards against a large configuration that takes seconds on the links of small
// nodes: at 10 Mbit/s, 100 KB take 80 ms.
func TestLargeAnswersAreCompressed(t *testing.T) {
	g := NewWithT(t)
	spec := manyRoutes()
	answer := &message.ReplicaAnswer{StaleMs: 7, Deltas: []message.ReplicaDelta{{AsOf: 9, Objects: []message.ReplicaObject{{Name: "main", Revision: 9, Spec: string(spec)}}}}}
	var p packer
	packed, err := p.pack("a", answer)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(packed.Packed)).To(BeNumerically("<", 100<<10))
	g.Expect(packed.StaleMs).To(Equal(7))
	deltas, err := unpack(packed)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(deltas).To(Equal(answer.Deltas))
}

// Guards against an answer that was made for another position being sent, and
// against kept answers that grow without bound.
func TestKeptAnswersBelongToAPosition(t *testing.T) {
	g := NewWithT(t)
	var p packer
	for i := range 3 * keptPacks {
		spec := append(manyRoutes(), byte('0'+i%10))
		answer := &message.ReplicaAnswer{Deltas: []message.ReplicaDelta{{AsOf: uint64(i), Objects: []message.ReplicaObject{{Spec: string(spec)}}}}}
		packed, err := p.pack(fmt.Sprint(i), answer)
		g.Expect(err).NotTo(HaveOccurred())
		deltas, err := unpack(packed)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(deltas[0].AsOf).To(Equal(uint64(i)))
	}
	g.Expect(p.kept).To(HaveLen(keptPacks))
}

// Guards against small changes paying for compression, and against damaged answers
// being taken for empty ones.
func TestSmallAndDamagedAnswers(t *testing.T) {
	g := NewWithT(t)
	small := &message.ReplicaAnswer{Deltas: []message.ReplicaDelta{{AsOf: 1}}}
	var p packer
	packed, err := p.pack("a", small)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(packed).To(BeIdenticalTo(small))
	_, err = unpack(&message.ReplicaAnswer{Packed: "damaged"})
	g.Expect(err).To(HaveOccurred())
}
