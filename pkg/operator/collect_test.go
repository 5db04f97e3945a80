package operator_test

import (
	"context"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/objectstore"
	"github.com/fireflychute/fireflychute/pkg/operator"
	"github.com/fireflychute/fireflychute/pkg/operator/operatortest"
)

// newFixtureWithUnusedBlobs returns a fixture that holds an unused blob: the spec of the service
// with 7 slots, and what a collection made of it so far.
func newFixtureWithUnusedBlobs(t *testing.T) (*fixture, operator.UnusedBlobs) {
	f := newFixture(t)
	f.mustApply(operator.ApplyRequest{Objects: []api.Object{service("text", 7)}})
	f.mustApply(operator.ApplyRequest{Objects: []api.Object{service("text", 8)}})
	first, err := operator.CollectBlobs(context.Background(), f.store, nil, 100)
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(first.Deleted).To(BeZero())
	f.Expect(first.Unused).To(HaveLen(2), "the specs with 6 and with 7 slots")
	return f, first.Unused
}

// Guards against unused blobs that pile up, and against blobs in use that are deleted.
func TestCollectBlobs(t *testing.T) {
	f, unused := newFixtureWithUnusedBlobs(t)
	second, err := operator.CollectBlobs(context.Background(), f.store, unused, 100)
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(second.Deleted).To(Equal(2))
	f.Expect(second.Unused).To(BeEmpty())
	f.storedSpecs()
	first := f.mustApply(operator.ApplyRequest{Operation: "next", Objects: []api.Object{service("text", 9)}})
	f.Expect(f.mustApply(operator.ApplyRequest{Operation: "next", Objects: []api.Object{service("text", 9)}})).To(Equal(first))
}

// Guards against a collection at any moment of an apply, or an apply at any
// moment of a collection, that leaves the manifest with a missing blob.
func TestCollectDuringApply(t *testing.T) {
	reuse := operator.ApplyRequest{Operation: "reuse", Objects: []api.Object{service("text", 7)}}
	// Two collections in a row also find what an apply has just written.
	collect := func(f *fixture, unused operator.UnusedBlobs) {
		for range 2 {
			collection, err := operator.CollectBlobs(context.Background(), f.store, unused, 100)
			if err != nil {
				f.Expect(err).To(MatchError(objectstore.ErrConflict))
			}
			unused = collection.Unused
		}
	}
	apply := func(f *fixture, _ operator.UnusedBlobs) { f.mustApply(reuse) }
	for name, order := range map[string][2]func(*fixture, operator.UnusedBlobs){"apply first": {apply, collect}, "collect first": {collect, apply}} {
		for callIndex := range 16 {
			t.Run(fmt.Sprintf("%s, other at call %d", name, callIndex), func(t *testing.T) {
				f, unused := newFixtureWithUnusedBlobs(t)
				calls := 0
				interleaved := false
				f.store.OnCall = func(string) operatortest.Fault {
					calls++
					if calls-1 == callIndex {
						f.store.OnCall = nil
						interleaved = true
						order[1](f, unused)
					}
					return operatortest.None
				}
				order[0](f, unused)
				f.store.OnCall = nil
				if !interleaved {
					order[1](f, unused)
				}
				specs, _ := f.storedSpecs()
				f.Expect(specs["Service/text"]).To(ContainSubstring(`"slots":7`))
			})
		}
	}
}
