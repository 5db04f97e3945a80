package edge

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// smuggledRequest is a request inside what a caller declares to be another one's body.
const smuggledRequest = "POST /unsafe/hidden HTTP/1.1\r\nHost: h.example\r\nFireflychute-Request-Id: hidden\r\nContent-Length: 0\r\n\r\n"

// requestHeader returns the head of a request with further lines.
func requestHeader(lines ...string) string {
	all := append([]string{"POST /unsafe/x HTTP/1.1", "Host: h.example", "Fireflychute-Request-Id: open", "Fireflychute-Deadline-Ms: 2000"}, lines...)
	return strings.Join(all, "\r\n") + "\r\n\r\n"
}

// Guards against a request that is smuggled to an instance inside another one, and against
// callers who hold a node with a head or a body in a form that readers understand differently.
func TestMalformedRequestsSmuggleNothing(t *testing.T) {
	chunked := "Transfer-Encoding: chunked"
	for name, c := range map[string]struct {
		bytes string
		// runs tells that the open request is proper and runs.
		runs bool
	}{
		"two lengths":                   {requestHeader("Content-Length: 0", "Content-Length: 9") + smuggledRequest, false},
		"list of lengths":               {requestHeader("Content-Length: 0, 9") + smuggledRequest, false},
		"length with a sign":            {requestHeader("Content-Length: +0") + smuggledRequest, false},
		"negative length":               {requestHeader("Content-Length: -1") + smuggledRequest, false},
		"length in hexadecimal":         {requestHeader("Content-Length: 0x0") + smuggledRequest, false},
		"unknown transfer encoding":     {requestHeader("Transfer-Encoding: chunked, identity") + "0\r\n\r\n" + smuggledRequest, false},
		"two transfer encodings":        {requestHeader(chunked, "Transfer-Encoding: identity") + "0\r\n\r\n" + smuggledRequest, false},
		"transfer encoding in disguise": {requestHeader("Transfer-Encoding: xchunked") + "0\r\n\r\n" + smuggledRequest, false},
		"space before the colon":        {requestHeader("Content-Length : 0") + smuggledRequest, false},
		"bare carriage return":          {requestHeader("X-Bare: a\rContent-Length: 9", "Content-Length: 0"), false},
		"zero byte":                     {requestHeader("X-Zero: a\x00b", "Content-Length: 0"), false},
		"chunk size beyond bounds":      {requestHeader(chunked) + "fffffffffffffffff\r\n" + smuggledRequest, false},
		"chunk size with a sign":        {requestHeader(chunked) + "-1\r\n" + smuggledRequest, false},
		"chunk without its end":         {requestHeader(chunked) + "2\r\nabcd\r\n0\r\n\r\n" + smuggledRequest, false},
		"space in the path":             {strings.Replace(requestHeader("Content-Length: 0"), "/unsafe/x", "/unsafe/x y", 1) + smuggledRequest, false},
		"length with chunks":            {requestHeader("Content-Length: 3", chunked) + "0\r\n\r\n" + smuggledRequest, true},
		"chunk extension":               {requestHeader(chunked) + "3;note=\"a\"\r\nabc\r\n0\r\n\r\n", true},
		"trailer":                       {requestHeader(chunked, "Trailer: Fireflychute-Request-Id") + "3\r\nabc\r\n0\r\nFireflychute-Request-Id: hidden\r\n\r\n", true},
		"folded header":                 {requestHeader("X-Folded: a\r\n b", "Content-Length: 0"), true},
		"hidden request in the body":    {requestHeader("Content-Length: "+strconv.Itoa(len(smuggledRequest))) + smuggledRequest, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBalancer(t, 1)
			conn, err := net.Dial("tcp", b.server.Listener.Addr().String())
			b.g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			b.g.Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
			_, err = io.WriteString(conn, c.bytes)
			b.g.Expect(err).NotTo(HaveOccurred())
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			b.g.Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			if c.runs {
				b.g.Expect(response.StatusCode).To(Equal(http.StatusOK))
			} else {
				b.g.Expect(response.StatusCode).To(And(BeNumerically(">=", 400), BeNumerically("<=", 505)))
			}
			time.Sleep(50 * time.Millisecond) // a smuggled request would run behind the answer
			for _, run := range b.runs() {
				b.g.Expect(run.RequestID).To(Equal("open"))
				b.g.Expect(run.Path).To(Equal("/unsafe/x"))
				b.g.Expect(c.runs).To(BeTrue(), "a malformed request runs")
			}
		})
	}
}

// Guards against callers who hold a node's memory with a head that has no end.
func TestEndlessRequestHeaderIsRejected(t *testing.T) {
	b := newTestBalancer(t, 1)
	conn, err := net.Dial("tcp", b.server.Listener.Addr().String())
	b.g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	b.g.Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	go func() {
		_, _ = io.WriteString(conn, "GET /safe/x HTTP/1.1\r\nHost: h.example\r\n")
		for range 1 << 12 {
			_, err := io.WriteString(conn, "X-Filler: "+strings.Repeat("a", 1<<10)+"\r\n")
			if err != nil {
				return // the node has closed the connection
			}
		}
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		b.g.Expect(response.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		b.g.Expect(response.Body.Close()).To(Succeed())
	}
	b.g.Expect(b.runs()).To(BeEmpty())
}
