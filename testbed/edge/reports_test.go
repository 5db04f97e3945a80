package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/catalog"
	"github.com/fireflychute/fireflychute/testbed/instance"
)

// serveTarget accepts connections and serves each with a function until the test ends.
func serveTarget(t *testing.T, g *WithT, serve func(net.Conn)) catalog.Target {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the listener is closed at the end of the test
			}
			go serve(conn)
		}
	}()
	return catalog.Target{ID: "i-odd", Address: listener.Addr().String(), Service: "s", Version: "v1", DataCentre: "dc1", Slots: 6}
}

const idleProbeResponse = "HTTP/1.1 200 OK\r\nFireflychute-Instance-Id: i-odd\r\nFireflychute-Instance-Load: 0,0,6,100\r\nContent-Length: 0\r\n\r\n"

// lateRejector is an instance that rejects every second load probe, and repeats the rejection in front of the response
// to the next request on the connection, which it runs.
type lateRejector struct {
	mu     sync.Mutex
	probes int
	// repeated counts the rejections that were repeated, ran the runs by request id.
	repeated int
	ran      map[string]int
}

func (l *lateRejector) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	rejection := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return // the node closed the connection
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, err = io.WriteString(conn, l.answer(request, &rejection))
		if err != nil {
			return // the node closed the connection
		}
	}
}

// answer returns what the instance sends upon a request.
func (l *lateRejector) answer(request *http.Request, rejection *string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if request.URL.Path == "/health" {
		l.probes++
		if l.probes%2 == 0 {
			*rejection = "HTTP/1.1 503 Service Unavailable\r\nFireflychute-Not-Executed: full\r\nContent-Length: 0\r\n\r\n"
			return *rejection
		}
		return idleProbeResponse
	}
	id := request.Header.Get("Fireflychute-Request-Id")
	l.ran[id]++
	late := *rejection
	if late != "" {
		l.repeated++
		*rejection = ""
	}
	return late + fmt.Sprintf("HTTP/1.1 200 OK\r\nFireflychute-Request-Id: %s\r\nFireflychute-Response-Seal: %s\r\nContent-Length: 2\r\n\r\nok", id, instance.Seal(id, "ok"))
}

// Guards against an unsafe request that is answered with "not run", or sent to a second instance, because a late copy of the
// rejection of a load probe, which names no request, is taken for the answer to it.
func TestRejectionThatNamesNoRequestIsNotBelieved(t *testing.T) {
	b := newTestBalancer(t, 0)
	l := &lateRejector{ran: map[string]int{}}
	b.targets = []catalog.Target{serveTarget(t, b.g, l.serve)}
	b.publish()
	refused := 0
	for range 60 {
		request := b.request(t.Context(), http.MethodPost, "/unsafe/x", "")
		id := request.Header.Get("Fireflychute-Request-Id")
		response, err := http.DefaultClient.Do(request)
		b.g.Expect(err).NotTo(HaveOccurred())
		_, _ = io.Copy(io.Discard, response.Body)
		b.g.Expect(response.Body.Close()).To(Succeed())
		l.mu.Lock()
		runs := l.ran[id]
		l.mu.Unlock()
		b.g.Expect(runs).To(BeNumerically("<=", 1))
		if response.StatusCode == http.StatusServiceUnavailable {
			refused++
			b.g.Expect(runs).To(BeZero(), "answered as not run")
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b.g.Expect(l.repeated).To(BeNumerically(">", 0), "rejections must have been repeated on connections in use")
	t.Logf("%d rejections repeated, %d requests refused", l.repeated, refused)
}

// Guards against an answer whose head breaks off being passed on as a complete success with an empty or short body.
func TestAnswerThatBreaksOffInItsHeadIsNoSuccess(t *testing.T) {
	const id, body = "cut-1", "whole body"
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nFireflychute-Request-Id: %s\r\nFireflychute-Response-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", id, instance.Seal(id, body), len(body), body)
	unframed := strings.Replace(whole, fmt.Sprintf("Content-Length: %d\r\n", len(body)), "Connection: close\r\n", 1)
	chunked := strings.Replace(whole, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body), "Transfer-Encoding: chunked\r\n\r\na\r\n"+body+"\r\n0\r\n\r\n", 1)
	for name, answer := range map[string]string{"with length": whole, "ended by the connection": unframed, "chunked": chunked} {
		t.Run(name, func(t *testing.T) {
			b := newTestBalancer(t, 0)
			head := strings.Index(answer, "\r\n\r\n") + len("\r\n\r\n")
			sent := make(chan int, 1)
			b.targets = []catalog.Target{serveTarget(t, b.g, func(conn net.Conn) {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return // the node closed the connection
					}
					if request.URL.Path == "/health" {
						_, _ = io.WriteString(conn, idleProbeResponse)
						continue
					}
					_, _ = io.WriteString(conn, answer[:<-sent])
					return
				}
			})}
			b.publish()
			// Every second byte of the head, and each place where a line of it ends.
			tried := 0
			for cut := range head {
				if cut%2 == 1 && answer[cut] != '\n' && answer[max(0, cut-1)] != '\n' {
					continue
				}
				sent <- cut
				b.publish()
				request := b.request(t.Context(), http.MethodPost, "/unsafe/x", "")
				request.Header.Set("Fireflychute-Request-Id", id)
				response, err := http.DefaultClient.Do(request)
				b.g.Expect(err).NotTo(HaveOccurred())
				b.g.Expect(response.Body.Close()).To(Succeed())
				if response.StatusCode == http.StatusServiceUnavailable { // the target was not tried again so soon
					<-sent
					time.Sleep(20 * time.Millisecond)
					continue
				}
				tried++
				b.g.Expect(response.StatusCode).To(Equal(http.StatusBadGateway), "cut after %d bytes: %q", cut, answer[:cut])
			}
			b.g.Expect(tried).To(BeNumerically(">", head/4))
		})
	}
}
