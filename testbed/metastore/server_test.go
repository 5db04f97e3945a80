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

// startServer serves the stand-in on a loopback port and returns the production client for it.
func startServer(t *testing.T, readRate, writeRate float64) (*Server, *platform.Objects) {
	server := NewLimitedServer(New(), readRate, writeRate)
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	return server, platform.NewObjects(listener.URL, nil)
}

// Guards against a write condition that is not enforced or that fails with the wrong error class.
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
	g.Expect(third).To(BeNumerically(">", second+1), "versions are never reused, not even by a delete")
}

// Guards against a watch from an old version that misses or reorders events, and against a waiting
// watch that misses a later write.
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
	g.Expect(version).To(Equal(now), "a watch continues from the version of the delete")

	done := make(chan []objectstore.Event)
	go func() {
		events, _, _ := c.Watch(ctx, testKind, version)
		done <- events
	}()
	_, err = c.Create(ctx, testKind, "b", []byte("1"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(<-done).To(HaveLen(1))
}

// Guards against a watch that silently skips events because the history no longer covers its
// version.
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

// Guards against a lost response that the client reports as a failed write, and against a fault
// injection that loses the write as well.
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
	g.Expect(err).To(MatchError(objectstore.ErrConflict), "only one response is dropped")
}

// Guards against calls that succeed during an injected outage.
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

// Guards against rate limits that are not enforced, or that reads and writes share.
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
	g.Expect(admitted(callStaleRead, now)).To(Equal(20), "stale reads are not rate-limited")
	g.Expect(admitted(callWrite, now.Add(time.Second))).To(Equal(2))
	g.Expect(admitted(callWrite, now.Add(1500*time.Millisecond))).To(Equal(1))
	g.Expect(admitted(callWrite, now.Add(time.Hour))).To(Equal(2), "the burst is limited to the calls of one second")

	_, c := startServer(t, 1, 1000)
	_, _, err := c.List(t.Context(), testKind)
	g.Expect(err).NotTo(HaveOccurred())
	_, _, err = c.List(t.Context(), testKind)
	var call *objectstore.CallError
	g.Expect(err).To(MatchError(objectstore.ErrRateLimited))
	g.Expect(errors.As(err, &call)).To(BeTrue())
	g.Expect(call.RetryAfter).To(Equal(time.Second))
}

// registerCall is one call of a history: a read or a conditional update.
type registerCall struct {
	write     bool
	ifVersion uint64
}

// callResult is the result of a registerCall. A write with an unknown outcome may have taken
// effect.
type callResult struct {
	version  uint64
	conflict bool
	unknown  bool
}

// registerModel is the sequential specification of one object; its state is the object's version.
var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		current, call, result := state.(uint64), input.(registerCall), output.(callResult)
		switch {
		case !call.write:
			return result.version == current, current
		case result.conflict:
			return call.ifVersion != current, current
		default:
			return call.ifVersion == current && result.version > current, result.version
		}
	},
}

// Guards against conditional updates that are not linearizable: two successful updates of one
// version, a rejected update of the current version, or a stale read.
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

// Guards against a rewrite with an unchanged value that does not raise the version: readers detect
// a rewrite by the new version.
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

// Guards against a stand-in that is more lenient than the real store, where a write that changes
// nothing causes no event and does not raise the revision.
func TestUnchangedWriteKeepsRevision(t *testing.T) {
	g := NewWithT(t)
	store := New()
	before := store.Put("config", "main", map[string]any{"a": 1})
	g.Expect(store.Put("config", "main", map[string]any{"a": 1}).Metadata.Rev).To(Equal(before.Metadata.Rev))
	g.Expect(store.eventsAfter("config", 0)).To(HaveLen(1))
}

// Guards against a list that ends after its first page.
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

// Guards against a new list of VMs that is not reported, and against a watch that continues from a
// version that the history no longer covers, which the store would reject again at once.
func TestListOfVMs(t *testing.T) {
	g := NewWithT(t)
	ctx := t.Context()
	server, c := startServer(t, 1000, 1000)
	earlyCtx, stop := context.WithTimeout(ctx, 50*time.Millisecond)
	defer stop()
	_, _, err := c.VMs(earlyCtx, 0)
	g.Expect(err).To(MatchError(context.DeadlineExceeded), "a missing list is not an empty one")
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
	g.Expect(again).To(Equal(second), "the list is read if the history no longer covers the version")
	briefCtx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, _, err = c.VMs(briefCtx, next)
	g.Expect(err).To(MatchError(context.DeadlineExceeded), "the watch continues from the version of the store and waits")
}
