package placement

import (
	"testing"

	. "github.com/onsi/gomega"
)

func isNotified(w *Waiter) bool {
	select {
	case <-w.Ready():
		return true
	default:
		return false
	}
}

// Guards against overload in which requests that have waited longest, and will hardly be
// in time, are served before fresh and more urgent ones.
func TestUrgentAndNewRequestsAreFirst(t *testing.T) {
	g := NewWithT(t)
	list := &Waitlist{}
	g.Expect(list.IsEmpty()).To(BeTrue())
	older, newer, urgent, lesser := list.Join(2), list.Join(2), list.Join(1), list.Join(3)
	for _, first := range []*Waiter{urgent, newer, older, lesser} {
		g.Expect(list.IsFirst(first)).To(BeTrue())
		list.NotifySlotFreed()
		g.Expect(isNotified(first)).To(BeTrue())
		list.Leave(first)
	}
	g.Expect(list.IsEmpty()).To(BeTrue())
	list.NotifySlotFreed()
	list.Leave(older)
}

// Guards against a slot that stays free while requests wait: the next one is woken when
// the first has left, and a second call is not lost nor kept twice.
func TestNextWaiterIsNotifiedWhenTheFirstLeaves(t *testing.T) {
	g := NewWithT(t)
	list := &Waitlist{}
	second, first := list.Join(1), list.Join(1)
	list.NotifySlotFreed()
	list.NotifySlotFreed()
	g.Expect(isNotified(first)).To(BeTrue())
	g.Expect(isNotified(first)).To(BeFalse())
	g.Expect(isNotified(second)).To(BeFalse())
	list.Leave(first)
	g.Expect(isNotified(second)).To(BeTrue())
	third := list.Join(2)
	list.Leave(third)
	g.Expect(isNotified(second)).To(BeFalse(), "one behind the first has left")
}
