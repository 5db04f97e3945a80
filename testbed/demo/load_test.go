package demo

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against the load generator's client retrying a call whose connection broke: the second
// execution would be attributed to the node, and a rejected retry would report a call as not run
// that was run.
func TestCallIsSentOnce(t *testing.T) {
	g := NewWithT(t)
	var received atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if received.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte("x " + r.URL.Path + "\n"))
	}))
	defer server.Close()
	load := NewLoad("test", nil)
	node := &Node{CallerAddress: strings.TrimPrefix(server.URL, "http://")}
	for _, want := range []Outcome{Answered, Unknown} {
		call := Call{ID: "a"}
		load.doRequest(Route{Method: http.MethodGet, Prefix: "/x/", Idempotent: true}, node, &call)
		g.Expect(call.Outcome).To(Equal(want))
		g.Expect(call.WrongBody).To(BeFalse())
	}
	g.Expect(received.Load()).To(BeEquivalentTo(2))
}

// Guards against an unreachable node being reported as an unknown outcome.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.NotFoundHandler())
	node := &Node{CallerAddress: strings.TrimPrefix(server.URL, "http://")}
	server.Close()
	call := Call{ID: "a"}
	NewLoad("test", nil).doRequest(Route{Method: http.MethodPost, Prefix: "/x/"}, node, &call)
	g.Expect(call.Outcome).To(Equal(NotRun))
}
