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

// orphaned returns a fixture that holds an unused blob: the spec of the service
// with 7 slots, and what a collection made of it so far.
func orphaned(t *testing.T) (*fixture, operator.Unused) {
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
	f, unused := orphaned(t)
	second, err := operator.CollectBlobs(context.Background(), f.store, unused, 100)
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(second.Deleted).To(Equal(2))
	f.Expect(second.Unused).To(BeEmpty())
	f.stored()
	first := f.mustApply(operator.ApplyRequest{Operation: "next", Objects: []api.Object{service("text", 9)}})
	f.Expect(f.mustApply(operator.ApplyRequest{Operation: "next", Objects: []api.Object{service("text", 9)}})).To(Equal(first))
}

// Guards against a collection at any moment of an apply, or an apply at any
// moment of a collection, that leaves the manifest with a missing blob.
func TestCollectDuringApply(t *testing.T) {
	reuse := operator.ApplyRequest{Operation: "reuse", Objects: []api.Object{service("text", 7)}}
	// Two collections in a row also find what an apply has just written.
	collect := func(f *fixture, unused operator.Unused) {
		for range 2 {
			collection, err := operator.CollectBlobs(context.Background(), f.store, unused, 100)
			if err != nil {
				f.Expect(err).To(MatchError(objectstore.ErrConflict))
			}
			unused = collection.Unused
		}
	}
	apply := func(f *fixture, _ operator.Unused) { f.mustApply(reuse) }
	for name, pair := range map[string][2]func(*fixture, operator.Unused){"apply first": {apply, collect}, "collect first": {collect, apply}} {
		for at := range 16 {
			t.Run(fmt.Sprintf("%s, other at call %d", name, at), func(t *testing.T) {
				f, unused := orphaned(t)
				calls := 0
				interfered := false
				f.store.OnCall = func(string) operatortest.Fault {
					calls++
					if calls-1 == at {
						f.store.OnCall = nil
						interfered = true
						pair[1](f, unused)
					}
					return operatortest.None
				}
				pair[0](f, unused)
				f.store.OnCall = nil
				if !interfered {
					pair[1](f, unused)
				}
				specs, _ := f.stored()
				f.Expect(specs["Service/text"]).To(ContainSubstring(`"slots":7`))
			})
		}
	}
}
