package quota

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"
)

// cancelledPeers fails with the context's error, as a call on a connection does.
type cancelledPeers struct{}

func (cancelledPeers) Ask(ctx context.Context, _ Node, ask Ask) (Reply, error) {
	return Reply{Known: ask.Limit, Grant: Grant{OK: true}}, ctx.Err()
}

// Guards against an owner that counts as gone, so that another one takes over, because the caller of
// the request left while the owner was asked.
func TestOwnerIsNotSuspectedWhenTheCallerLeaves(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	a := NewAllocator("self", table, cancelledPeers{})
	a.SetNodes([]Node{{Name: "n1"}, {Name: "n2"}, {Name: "n3"}})
	key := Key{Target: "i-1"}
	table.Observe(key, named(1), start, start)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	g.Expect(a.Acquire(ctx, key).OK).To(BeTrue())
	for _, node := range []string{"n1", "n2", "n3"} {
		g.Expect(a.isSuspect(node)).To(BeFalse())
	}
}

// Guards against a node that grants everything because it knows nothing of a limit and has no room
// for it.
func TestOwnerKeepsALimitThatItsTableCannotHold(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	for i := range maxEntries {
		table.Observe(Key{Target: "other", Incarnation: int64(i)}, named(1), start, start)
	}
	a := NewAllocator("self", table, cancelledPeers{})
	a.SetNodes([]Node{{Name: "self"}})
	ask := Ask{Limit: Limit{Key: Key{Target: "i-1"}, Limited: true, Rate: 0.1, Version: 1}}
	granted := 0
	for range 10 {
		if a.HandleAsk(context.Background(), "n1", ask).OK {
			granted++
		}
	}
	g.Expect(granted).To(BeZero(), "a new bucket is empty")
}
