package peer

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against limits of the settings that are read but not applied.
func TestConnectionLimits(t *testing.T) {
	g := NewWithT(t)
	limits := Limits{IdleTime: 50 * time.Millisecond, MaxConnections: 1}
	server, err := ListenWithLimits("127.0.0.1:0", nil, limits, func(string, Message) *Message { return nil })
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = server.Close() }()
	first, err := net.Dial("tcp", server.Address())
	g.Expect(err).NotTo(HaveOccurred())
	defer first.Close()
	second, err := net.Dial("tcp", server.Address())
	g.Expect(err).NotTo(HaveOccurred())
	defer second.Close()
	for _, connection := range []net.Conn{second, first} {
		// The server ends the second for the number and the first for being idle.
		_, err = connection.Read(make([]byte, 1))
		g.Expect(err).To(HaveOccurred())
	}
}
