package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/catalog"
	"github.com/fireflychute/fireflychute/testbed/instance"
)

// duplicatingTarget is an instance that responds to each request, and sends the response a second
// time as soon as the next request has arrived on the same connection.
type duplicatingTarget struct {
	listener net.Listener
	// beforeProbes also sends duplicates before the responses to load probes.
	beforeProbes bool
	// duplicates counts the responses that were sent a second time.
	duplicates atomic.Int64
}

func startDuplicatingTarget(t *testing.T, g *WithT, beforeProbes bool) *duplicatingTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	c := &duplicatingTarget{listener: listener, beforeProbes: beforeProbes}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the listener is closed at the end of the test
			}
			go c.serve(conn)
		}
	}()
	return c
}

func (t *duplicatingTarget) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	previous := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return // the node closed the connection
		}
		_, _ = io.Copy(io.Discard, request.Body)
		isProbe := request.URL.Path == "/health"
		if previous != "" && (t.beforeProbes || !isProbe) {
			t.duplicates.Add(1)
			_, _ = io.WriteString(conn, previous)
			previous = ""
		}
		response := "HTTP/1.1 200 OK\r\nFireflychute-Instance-Id: i-copier\r\nFireflychute-Instance-Load: 0,0,6,100\r\nContent-Length: 0\r\n\r\n"
		if !isProbe {
			id := request.Header.Get("Fireflychute-Request-Id")
			response = fmt.Sprintf("HTTP/1.1 200 OK\r\nFireflychute-Request-Id: %s\r\nFireflychute-Response-Seal: %s\r\nContent-Length: %d\r\n\r\n%s",
				id, instance.Seal(id, id), len(id), id)
			previous = response
		}
		_, err = io.WriteString(conn, response)
		if err != nil {
			return // the node closed the connection
		}
	}
}

// Guards (P5) against a late duplicate of a response that reaches the next caller on the same
// connection, or is accepted as the response to a load probe.
func TestDuplicateResponseIsNeverDelivered(t *testing.T) {
	for name, beforeProbes := range map[string]bool{"before the next response": false, "before the next response or probe response": true} {
		t.Run(name, func(t *testing.T) { expectOwnResponses(t, beforeProbes) })
	}
}

func expectOwnResponses(t *testing.T, beforeProbes bool) {
	b := newTestBalancer(t, 1)
	c := startDuplicatingTarget(t, b.g, beforeProbes)
	b.targets = []catalog.Target{{ID: "i-copier", Address: c.listener.Addr().String(), Service: "s", Version: "v1", DataCentre: "dc1", Slots: 6}}
	b.publish()
	for range 40 {
		request := b.request(t.Context(), http.MethodPost, "/unsafe/x", "")
		id := request.Header.Get("Fireflychute-Request-Id")
		response, err := http.DefaultClient.Do(request)
		b.g.Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response.Body)
		b.g.Expect(err).NotTo(HaveOccurred())
		b.g.Expect(response.Body.Close()).To(Succeed())
		if response.StatusCode == http.StatusOK {
			b.g.Expect(string(body)).To(Equal(id))
			continue
		}
		b.g.Expect(response.StatusCode).To(BeElementOf(http.StatusBadGateway, http.StatusServiceUnavailable))
	}
	b.g.Expect(c.duplicates.Load()).To(BeNumerically(">", 0), "duplicates must have been sent on connections in use")
}
