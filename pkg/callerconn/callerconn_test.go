package callerconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a declared length that is not noticed because it arrives in pieces or in
// another spelling.
func TestDeclaredLengthIsDetected(t *testing.T) {
	for name, c := range map[string]struct {
		pieces   []string
		declared bool
	}{
		"none":         {[]string{"GET / HTTP/1.1\r\n", "Host: a\r\n\r\n"}, false},
		"in one piece": {[]string{"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\n"}, true},
		"spelling":     {[]string{"POST / HTTP/1.1\r\ncOnTeNt-LENGTH: 3\r\n\r\n"}, true},
		"in pieces":    {[]string{"POST / HTTP/1.1\r\nCont", "e", "nt-Len", "gth: 3\r\n\r\n"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			near, far := net.Pipe()
			tracked := &conn{Conn: near}
			go func() {
				defer far.Close()
				for _, piece := range c.pieces {
					_, _ = io.WriteString(far, piece)
				}
			}()
			_, err := io.ReadAll(tracked)
			g.Expect(err).NotTo(HaveOccurred())
			chunked := (&http.Request{TransferEncoding: []string{"chunked"}}).WithContext(ConnContext(context.Background(), tracked))
			g.Expect(MustClose(chunked)).To(Equal(c.declared))
			unchunked := (&http.Request{}).WithContext(chunked.Context())
			g.Expect(MustClose(unchunked)).To(BeFalse(), "a length alone contradicts nothing")
		})
	}
	untracked := &http.Request{TransferEncoding: []string{"chunked"}}
	NewWithT(t).Expect(MustClose(untracked)).To(BeTrue(), "nothing is known of the connection")
}
