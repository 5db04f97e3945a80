package control

import (
	"math/rand/v2"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a target without traffic that stays in use after a crash, because the result
// of the health check does not report that the connection was refused.
func TestProbeReportsRefusedConnection(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := listener.Addr().String()
	g.Expect(listener.Close()).To(Succeed())
	c := New(Options{HealthCheckTransport: &http.Transport{DisableKeepAlives: true}, Random: rand.New(rand.NewPCG(1, 1))})
	g.Expect(c.checkHealth(t.Context(), address).Refused).To(BeTrue())
}
