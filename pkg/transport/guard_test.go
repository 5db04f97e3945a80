package transport

import (
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/internal/faultmatrix"
)

// startGuard returns a guarded connection on which the target sent data that no
// request asked for; the data is in this side's kernel.
func startGuard(t *testing.T) *conn {
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
	_, err = target.Write([]byte(answerTo("unasked")))
	g.Expect(err).NotTo(HaveOccurred())
	guard, err := newConn(inner, func() {})
	g.Expect(err).NotTo(HaveOccurred())
	guard.assign(&attempt{})
	return guard
}

// Guards (P5) against each way on which an answer that nobody asked for reaches the
// next caller: read before the request began, left in the reader's buffer, or in
// the kernel when the request begins. Each has a check of its own, and the checks
// hide each other's absence from a test over whole exchanges.
func TestGuardRefusesWhatWasNotAskedFor(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.AnswerLateOrCrossed, faultmatrix.RequestReadHeaders, faultmatrix.RequestReuse)
	t.Run("read before the request began", func(t *testing.T) {
		_, err := startGuard(t).Read(make([]byte, readBufferBytes))
		NewWithT(t).Expect(err).To(MatchError(ErrUnasked))
	})
	t.Run("left in the buffer", func(t *testing.T) {
		NewWithT(t).Expect(startGuard(t).beforeRead(readBufferBytes - 1)).To(MatchError(ErrUnasked))
	})
	t.Run("in the kernel when the request begins", func(t *testing.T) {
		guard := startGuard(t)
		guard.assign(&attempt{})
		_, err := guard.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		NewWithT(t).Expect(err).To(MatchError(ErrUnasked))
	})
}
