package edge

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/fireflychute/fireflychute/pkg/catalog"
	"github.com/fireflychute/fireflychute/pkg/message"
	"github.com/fireflychute/fireflychute/pkg/replica"
)

func testController(name string) *controller {
	return newController(Options{Settings: Settings{Node: name}, Log: zerolog.Nop()}, nil, nil)
}

func silent(answer *message.ReplicaAnswer, _ bool) bool { return answer.Silent }

// Guards against a node that goes on as a source of others while the store does not
// answer it, and against removed entries that are kept since the store was slow.
func TestSilentStoreIsToldButRemovesEntries(t *testing.T) {
	g := NewWithT(t)
	c := testController("n1")
	now := time.Now()
	c.heard = now
	fetch := &message.ReplicaFetch{Have: make([]message.ReplicaRevision, len(replica.Kinds()))}
	c.noteProbe(now, nil, errors.New("no answer"))
	g.Expect(silent(c.answerTo(now, fetch))).To(BeTrue())
	g.Expect(c.mayLapse(now, now)).To(BeFalse())
	c.noteProbe(now, []replica.Object{{Name: "main", Revision: 7}}, nil)
	g.Expect(silent(c.answerTo(now, fetch))).To(BeFalse())
	object, known := c.replica.Object(replica.Configurations, "main")
	g.Expect(known).To(BeTrue())
	g.Expect(object.Revision).To(BeEquivalentTo(7))
	c.noteProbe(now, []replica.Object{{Name: "main", Revision: 5}}, nil)
	object, _ = c.replica.Object(replica.Configurations, "main")
	g.Expect(object.Revision).To(BeEquivalentTo(7), "an older answer changes nothing")
}

// Guards against followers that keep to a node whose store is silent.
func TestSilentNodeIsNoSource(t *testing.T) {
	g := NewWithT(t)
	c := testController("n1")
	node := catalog.Node{Name: "n2"}
	c.take(time.Now(), node, &message.ReplicaAnswer{Silent: true}, nil, nil)
	g.Expect(c.sources["n2"].IsLost()).To(BeTrue())
	c.take(time.Now(), node, &message.ReplicaAnswer{}, nil, nil)
	g.Expect(c.sources["n2"].IsLost()).To(BeFalse())
}

// Guards against all nodes calling a store that is away, and against a node that hears
// nobody waiting for others to call it.
func TestNodesLookForALostStoreInTurn(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	looking := func(position int, away time.Duration, hears bool) bool {
		c := testController("n" + string(rune('0'+position)))
		for i := range 10 {
			c.view.ranked = append(c.view.ranked, catalog.Node{Name: "n" + string(rune('0'+i))})
		}
		for _, kind := range replica.Kinds() {
			c.replica.Replace(now, kind, 1, nil, false)
		}
		c.heard = now.Add(-away)
		if hears {
			c.answered = now
		}
		return !c.awaitsTurn(now)
	}
	count := func(away time.Duration, hears bool) (total int) {
		for i := range 10 {
			if looking(i, away, hears) {
				total++
			}
		}
		return total
	}
	g.Expect(count(staleTime, true)).To(Equal(1))
	g.Expect(count(staleTime+4*turnTime, true)).To(Equal(5))
	g.Expect(count(staleTime+9*turnTime, true)).To(Equal(10))
	g.Expect(count(staleTime, false)).To(Equal(10))
}

// Guards against a system that starts for the first time in which each node finds itself
// among the first of a list that is still short, and reads the whole store.
func TestNodesOfANewSystemLeaveWatchingToTheSeeds(t *testing.T) {
	g := NewWithT(t)
	c := testController("n1")
	c.options.Settings.FirstStart = true
	now := c.started
	g.Expect(c.isForming(now)).To(BeTrue())
	g.Expect(c.isForming(now.Add(formingTime))).To(BeFalse())
	c.options.Settings.FirstStart = false
	g.Expect(c.isForming(now)).To(BeFalse())
}
