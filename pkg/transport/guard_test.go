package transport

import (
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/internal/faultmatrix"
)

// connWithUnsolicitedData returns a guarded connection on which the target sent data that no
// request asked for; the data is in this side's kernel.
func connWithUnsolicitedData(t *testing.T) *conn {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	inner, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = inner.Close() })
	target, err := listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = target.Close() })
	_, err = target.Write([]byte(responseWithBody("unasked")))
	g.Expect(err).NotTo(HaveOccurred())
	c, err := newConn(inner, func() {})
	g.Expect(err).NotTo(HaveOccurred())
	c.assign(&attempt{})
	return c
}

// Guards (P5) against each way on which an answer that nobody asked for reaches the
// next caller: read before the request began, left in the reader's buffer, or in
// the kernel when the request begins. Each has a check of its own, and the checks
// hide each other's absence from a test over whole exchanges.
func TestUnsolicitedDataIsRejected(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.AnswerLateOrCrossed, faultmatrix.RequestReadHeaders, faultmatrix.RequestReuse)
	t.Run("read before the request began", func(t *testing.T) {
		_, err := connWithUnsolicitedData(t).Read(make([]byte, readBufferBytes))
		NewWithT(t).Expect(err).To(MatchError(ErrUnsolicited))
	})
	t.Run("left in the buffer", func(t *testing.T) {
		NewWithT(t).Expect(connWithUnsolicitedData(t).prepareRead(readBufferBytes - 1)).To(MatchError(ErrUnsolicited))
	})
	t.Run("in the kernel when the request begins", func(t *testing.T) {
		c := connWithUnsolicitedData(t)
		c.assign(&attempt{})
		_, err := c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		NewWithT(t).Expect(err).To(MatchError(ErrUnsolicited))
	})
}
