package transport

import (
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/internal/faultmatrix"
)

// connWithUnsolicitedData returns a guarded connection on which the target sent data without a
// request. The data is in the kernel's receive buffer of the connection.
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
	_, err = target.Write([]byte(okResponse("unasked")))
	g.Expect(err).NotTo(HaveOccurred())
	c, err := newConn(inner, func() {})
	g.Expect(err).NotTo(HaveOccurred())
	c.assign(&attempt{})
	return c
}

// Guards (P5) against an unsolicited response reaching the next caller in any of three ways: read
// before the request was sent, left in the reader's buffer, or in the kernel's receive buffer when
// the request is sent. Each has its own check. A test over whole exchanges would not notice that
// one is missing, because the others mask it.
func TestUnsolicitedDataIsRejected(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.ResponseLateOrCrossed, faultmatrix.RequestReadHeaders, faultmatrix.RequestReuse)
	t.Run("read before the request is sent", func(t *testing.T) {
		_, err := connWithUnsolicitedData(t).Read(make([]byte, readBufferBytes))
		NewWithT(t).Expect(err).To(MatchError(ErrUnsolicited))
	})
	t.Run("left in the reader's buffer", func(t *testing.T) {
		NewWithT(t).Expect(connWithUnsolicitedData(t).prepareRead(readBufferBytes - 1)).To(MatchError(ErrUnsolicited))
	})
	t.Run("in the kernel when the request is sent", func(t *testing.T) {
		c := connWithUnsolicitedData(t)
		c.assign(&attempt{})
		_, err := c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		NewWithT(t).Expect(err).To(MatchError(ErrUnsolicited))
	})
}
