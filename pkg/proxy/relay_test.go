package proxy

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/admission"
	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/snapshot"
	"github.com/fireflychute/fireflychute/pkg/targets"
)

// relayCalls makes the node without units of its own hand calls over to another.
func relayCalls(t *testing.T, from, to *testNode) {
	t.Helper()
	relay := httptest.NewServer(to.Relayed())
	t.Cleanup(relay.Close)
	from.version.Targets = nil
	from.version.Relays = []*snapshot.Target{{
		Address: relay.Listener.Addr().String(), Units: 6, Connections: 100, IsRelay: true, Counters: &targets.Counters{},
	}}
}

// Guards against a node that refuses calls only because the units of cold targets
// are at other nodes, and (P7) against the key being claimed at both nodes.
func TestCallIsRelayedToNodeWithUnits(t *testing.T) {
	g := NewWithT(t)
	depths := make(chan string, 1)
	owner := newTestNode(t, api.WorkKindSpec{Deduplicate: true}, func(_ http.ResponseWriter, r *http.Request) {
		depths <- r.Header.Get(HeaderDepth)
	})
	entry := newTestNode(t, api.WorkKindSpec{Deduplicate: true})
	deduplicator := &memoryDeduplicator{}
	owner.options.Deduplicator, entry.options.Deduplicator = deduplicator, deduplicator
	relayCalls(t, entry, owner)
	response, _, err := entry.call(t.Context(), http.MethodPost, "body", headerIdempotencyKey, "k")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusOK))
	g.Expect(<-depths).To(Equal("1"), "a hand-over is no call of its own")
}

// Guards against a call that is handed from node to node without end, and (P6)
// against a false statement about it.
func TestCallIsRelayedOnce(t *testing.T) {
	g := NewWithT(t)
	first, second := newTestNode(t, api.WorkKindSpec{}), newTestNode(t, api.WorkKindSpec{})
	relayCalls(t, first, second)
	relayCalls(t, second, first)
	response, _, err := first.call(t.Context(), http.MethodPost, "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(response.Header.Get(HeaderOutcome)).To(Equal(OutcomeNotRun))
}

// Guards (P7) against a second execution of a call that was handed over and whose
// outcome the other node does not know.
func TestUnknownOutcomeOfRelayedCall(t *testing.T) {
	g := NewWithT(t)
	var runs atomic.Int32
	owner := newTestNode(t, api.WorkKindSpec{Idempotent: true}, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		abortConnection(w, r)
	})
	entry := newTestNode(t, api.WorkKindSpec{})
	relayCalls(t, entry, owner)
	response, _, err := entry.call(t.Context(), http.MethodPost, "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Header.Get(HeaderOutcome)).To(Equal(OutcomeUnknown))
	g.Expect(runs.Load()).To(Equal(int32(1)))
}

// Guards against a caller that names its group or version on the callers' listener.
func TestCallerCannotSetGroupOrVersion(t *testing.T) {
	g := NewWithT(t)
	n := newTestNode(t, api.WorkKindSpec{}, func(http.ResponseWriter, *http.Request) {})
	for _, named := range []string{"v1", "other"} {
		response, _, err := n.call(t.Context(), http.MethodGet, "", headerVersion, named, headerCaller, "gold")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.StatusCode).To(Equal(http.StatusOK))
	}
}

// Guards against refusals at a node whose units are in use while another node has
// free ones, and against handing the same call over twice.
func TestCallIsRelayedWhenUnitsAreInUse(t *testing.T) {
	g := NewWithT(t)
	var runs atomic.Int32
	other := newTestNode(t, api.WorkKindSpec{}, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	entry := newTestNode(t, api.WorkKindSpec{}, func(http.ResponseWriter, *http.Request) {})
	own := entry.version.Targets
	relayCalls(t, entry, other)
	entry.version.Targets = own
	own[0].Counters.InFlight.Store(int64(own[0].Units))
	gate := entry.gate(entry.route.Service)
	gate.queue = admission.NewQueue(0)
	response, _, err := entry.call(t.Context(), http.MethodPost, "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusOK))
	g.Expect(runs.Load()).To(Equal(int32(1)))
	other.version.Targets[0].Units = 0
	response, _, err = entry.call(t.Context(), http.MethodPost, "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Header.Get(HeaderOutcome)).To(Equal(OutcomeNotRun))
	g.Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
}
