package metastore

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/objectstore"
	"github.com/fireflychute/fireflychute/platform"
)

const testKind = "thing"

// startServer serves a platform on loopback and returns the real client for it.
func startServer(t *testing.T, readRate, writeRate float64) (*Server, *platform.Objects) {
	server := NewLimitedServer(New(), readRate, writeRate)
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	return server, platform.NewObjects(listener.URL, nil)
}

// Guards against a condition that is not enforced, or an error of another type.
func TestConditionalUpdates(t *testing.T) {
	g := NewWithT(t)
	ctx := t.Context()
	_, c := startServer(t, 1000, 1000)
	_, err := c.Get(ctx, testKind, "a")
	g.Expect(err).To(MatchError(objectstore.ErrNotFound))
	first, err := c.Create(ctx, testKind, "a", []byte("1"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.Create(ctx, testKind, "a", []byte("2"))
	g.Expect(err).To(MatchError(objectstore.ErrConflict))
	second, err := c.Update(ctx, testKind, "a", []byte("2"), first)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(second).To(BeNumerically(">", first))
	_, err = c.Update(ctx, testKind, "a", []byte("3"), first)
	g.Expect(err).To(MatchError(objectstore.ErrConflict))
	g.Expect(c.Delete(ctx, testKind, "a", first)).To(MatchError(objectstore.ErrConflict))
	object, err := c.Get(ctx, testKind, "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(object).To(Equal(objectstore.Object{Kind: testKind, Name: "a", Version: second, Value: []byte("2")}))
	g.Expect(c.Delete(ctx, testKind, "a", second)).To(Succeed())
	third, err := c.Create(ctx, testKind, "a", []byte("3"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(third).To(BeNumerically(">", second+1), "versions are never used twice, not even by a delete")
}

// Guards against a watch from an old version that misses events or shows them in
// another order, and against a watch that misses a later write.
func TestWatchFromOldVersion(t *testing.T) {
	g := NewWithT(t)
	ctx := t.Context()
	_, c := startServer(t, 1000, 1000)
	first, err := c.Create(ctx, testKind, "a", []byte("1"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.Create(ctx, "other", "a", []byte("1"))
	g.Expect(err).NotTo(HaveOccurred())
	second, err := c.Update(ctx, testKind, "a", []byte("2"), first)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Delete(ctx, testKind, "a", second)).To(Succeed())
	events, version, err := c.Watch(ctx, testKind, first)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(events).To(HaveLen(2))
	g.Expect(events[0].Object.Version).To(Equal(second))
	g.Expect(events[1].Deleted).To(BeTrue())
	_, now, err := c.List(ctx, testKind)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(version).To(Equal(now), "a watch goes on from the version of the delete")

	done := make(chan []objectstore.Event)
	go func() {
		events, _, _ := c.Watch(ctx, testKind, version)
		done <- events
	}()
	_, err = c.Create(ctx, testKind, "b", []byte("1"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(<-done).To(HaveLen(1))
}

// Guards against a watch from a version that the history no longer covers
// skipping events in silence.
func TestWatchFromTruncatedHistory(t *testing.T) {
	g := NewWithT(t)
	server, c := startServer(t, 1000, 1000)
	start := server.Store.revision
	for i := range maxHistory + 1 {
		server.Store.Put(kindPrefix+testKind, "a", map[string]any{"value": "", "write": fmt.Sprint(i)})
	}
	_, _, err := c.Watch(t.Context(), testKind, start)
	g.Expect(err).To(MatchError(objectstore.ErrHistoryGone))
	events, _, err := c.Watch(t.Context(), testKind, start+1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(events).To(HaveLen(maxHistory))
}

// Guards against a lost answer that the client takes for a failure, or whose
// write did not take effect.
func TestLostResponse(t *testing.T) {
	g := NewWithT(t)
	ctx := t.Context()
	server, c := startServer(t, 1000, 1000)
	server.SetFaults(Faults{DropResponses: 1})
	_, err := c.Create(ctx, testKind, "a", []byte("1"))
	g.Expect(err).To(MatchError(objectstore.ErrUnknownOutcome))
	object, err := c.Get(ctx, testKind, "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(object.Value).To(Equal([]byte("1")))
	_, err = c.Create(ctx, testKind, "a", []byte("2"))
	g.Expect(err).To(MatchError(objectstore.ErrConflict), "only one answer is lost")
}

// Guards against an outage that lets calls through.
func TestOutage(t *testing.T) {
	g := NewWithT(t)
	ctx := t.Context()
	server, c := startServer(t, 1000, 1000)
	server.SetFaults(Faults{Down: true})
	_, err := c.Create(ctx, testKind, "a", []byte("1"))
	g.Expect(err).To(MatchError(objectstore.ErrUnavailable))
	_, _, err = c.List(ctx, testKind)
	g.Expect(err).To(MatchError(objectstore.ErrUnavailable))
	server.SetFaults(Faults{})
	objects, _, err := c.List(ctx, testKind)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(objects).To(BeEmpty())
}

// Guards against rates that are not enforced, or that are enforced on reads and
// writes together.
func TestRateLimits(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	admission := admission{reads: tokenBucket{rate: 5, tokens: 5, refilled: now}, writes: tokenBucket{rate: 2, tokens: 2, refilled: now}}
	admitted := func(call callKind, at time.Time) int {
		count := 0
		for range 20 {
			if !admission.admit(call, at).rateLimited {
				count++
			}
		}
		return count
	}
	g.Expect(admitted(callWrite, now)).To(Equal(2))
	g.Expect(admitted(callRead, now)).To(Equal(5))
	g.Expect(admitted(callStaleRead, now)).To(Equal(20), "reads that may be older do not count")
	g.Expect(admitted(callWrite, now.Add(time.Second))).To(Equal(2))
	g.Expect(admitted(callWrite, now.Add(1500*time.Millisecond))).To(Equal(1))
	g.Expect(admitted(callWrite, now.Add(time.Hour))).To(Equal(2), "unused calls do not add up beyond one second")

	_, c := startServer(t, 1, 1000)
	_, _, err := c.List(t.Context(), testKind)
	g.Expect(err).NotTo(HaveOccurred())
	_, _, err = c.List(t.Context(), testKind)
	var call *objectstore.CallError
	g.Expect(err).To(MatchError(objectstore.ErrRateLimited))
	g.Expect(errors.As(err, &call)).To(BeTrue())
	g.Expect(call.RetryAfter).To(Equal(time.Second))
}

// registerCall is one call of a history: a read, or an update under a condition.
type registerCall struct {
	write     bool
	ifVersion uint64
}

// callResult is its answer. An unknown write may or may not have taken effect.
type callResult struct {
	version  uint64
	conflict bool
	unknown  bool
}

// registerModel is the specification of one object: the state is its version.
var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		current, call, answer := state.(uint64), input.(registerCall), output.(callResult)
		switch {
		case !call.write:
			return answer.version == current, current
		case answer.conflict:
			return call.ifVersion != current, current
		default:
			return call.ifVersion == current && answer.version > current, answer.version
		}
	},
}

// Guards against conditional updates that are not linearizable: two winners for
// one version, a refused update of the current version, or a read of old state.
func TestConcurrentUpdatesAreLinearizable(t *testing.T) {
	const writers, rounds = 6, 40
	g := NewWithT(t)
	_, c := startServer(t, 100_000, 100_000)
	var mu sync.Mutex
	history := []porcupine.Operation{}
	origin := time.Now()
	do := func(writer int, call registerCall) callResult {
		start := time.Since(origin).Nanoseconds()
		result := callRegister(t.Context(), c, call)
		end := time.Since(origin).Nanoseconds()
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: writer, Input: call, Call: start, Output: result, Return: end})
		return result
	}
	var group sync.WaitGroup
	for writer := range writers {
		group.Go(func() {
			for range rounds {
				current := do(writer, registerCall{})
				do(writer, registerCall{write: true, ifVersion: current.version})
			}
		})
	}
	group.Wait()
	wins, conflicts := 0, 0
	for _, operation := range history {
		result := operation.Output.(callResult)
		g.Expect(result.unknown).To(BeFalse())
		if operation.Input.(registerCall).write && result.conflict {
			conflicts++
		} else if operation.Input.(registerCall).write {
			wins++
		}
	}
	g.Expect(wins).To(BeNumerically(">", 0))
	g.Expect(wins + conflicts).To(Equal(writers * rounds))
	g.Expect(porcupine.CheckOperations(registerModel, history)).To(BeTrue(), "%d wins, %d conflicts", wins, conflicts)
}

func callRegister(ctx context.Context, c *platform.Objects, call registerCall) callResult {
	var version uint64
	var err error
	switch {
	case !call.write:
		var object objectstore.Object
		object, err = c.Get(ctx, testKind, "a")
		version = object.Version
	case call.ifVersion == 0:
		version, err = c.Create(ctx, testKind, "a", []byte("x"))
	default:
		version, err = c.Update(ctx, testKind, "a", []byte("x"), call.ifVersion)
	}
	switch {
	case err == nil || errors.Is(err, objectstore.ErrNotFound):
		return callResult{version: version}
	case errors.Is(err, objectstore.ErrConflict):
		return callResult{conflict: true}
	default:
		return callResult{unknown: true}
	}
}

// Guards against an update with the value that an object has already leaving its version:
// readers tell by the version that an object was written again.
func TestUpdateWithSameValueRaisesVersion(t *testing.T) {
	g := NewWithT(t)
	ctx := t.Context()
	_, c := startServer(t, 1000, 1000)
	first, err := c.Create(ctx, testKind, "a", []byte("1"))
	g.Expect(err).NotTo(HaveOccurred())
	second, err := c.Update(ctx, testKind, "a", []byte("1"), first)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(second).To(BeNumerically(">", first))
}

// Guards against a stand-in that is kinder than the store: there a write that changes
// nothing is no event and leaves the revision.
func TestUnchangedWriteKeepsRevision(t *testing.T) {
	g := NewWithT(t)
	store := New()
	before := store.Put("config", "main", map[string]any{"a": 1})
	g.Expect(store.Put("config", "main", map[string]any{"a": 1}).Metadata.Rev).To(Equal(before.Metadata.Rev))
	g.Expect(store.eventsAfter("config", 0)).To(HaveLen(1))
}

// Guards against a list that ends with its first page.
func TestListOfManyObjects(t *testing.T) {
	g := NewWithT(t)
	server, c := startServer(t, 1000, 1000)
	for i := range 2*maxPage + 1 {
		server.Store.Put(kindPrefix+testKind, fmt.Sprint(i), map[string]any{"value": ""})
	}
	objects, _, err := c.List(t.Context(), testKind)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(objects).To(HaveLen(2*maxPage + 1))
}

// Guards against a list of VMs that is not heard of, and against a watch that goes on
// from a version that the store no longer keeps: it would be refused again at once.
func TestListOfVMs(t *testing.T) {
	g := NewWithT(t)
	ctx := t.Context()
	server, c := startServer(t, 1000, 1000)
	earlyCtx, stop := context.WithTimeout(ctx, 50*time.Millisecond)
	defer stop()
	_, _, err := c.VMs(earlyCtx, 0)
	g.Expect(err).To(MatchError(context.DeadlineExceeded), "no list is not an empty one")
	server.SetVMs([]api.VM{{Address: "a"}})
	first, next, err := c.VMs(ctx, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first.VMs).To(HaveLen(1))
	server.SetVMs([]api.VM{{Address: "a"}, {Address: "b"}})
	second, _, err := c.VMs(ctx, next)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(second.Version).To(BeNumerically(">", first.Version))
	g.Expect(second.VMs).To(HaveLen(2))
	server.Store.Put("other", "a", 1)
	server.Store.Compact()
	again, next, err := c.VMs(ctx, next)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(Equal(second), "the list is read where the history is gone")
	briefCtx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, _, err = c.VMs(briefCtx, next)
	g.Expect(err).To(MatchError(context.DeadlineExceeded), "the watch goes on from the version of the store and waits")
}
