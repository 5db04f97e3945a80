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

// newFixtureWithUnusedBlobs returns a fixture whose store holds two unreferenced blobs,
// the specs of the service with 6 and with 7 slots, and the result of a first collection.
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

// Guards against unreferenced blobs that accumulate, and against the deletion of referenced
// blobs, including the outcome blob of a recorded operation.
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

// Guards against a manifest that refers to a deleted blob after a collection ran between two
// store calls of an apply, or an apply between two store calls of a collection.
func TestCollectDuringApply(t *testing.T) {
	reuse := operator.ApplyRequest{Operation: "reuse", Objects: []api.Object{service("text", 7)}}
	// Only the second of two collections deletes blobs that an apply has just written.
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
