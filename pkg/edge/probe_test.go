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
	"github.com/fireflychute/fireflychute/pkg/revision"
)

func testController(name string) *controller {
	return newTestController(Options{Settings: Settings{Node: name}, Log: zerolog.Nop()}, nil, nil)
}

func isMarkedSilent(reply *message.ReplicaAnswer, _ bool) bool { return reply.Silent }

// Guards against a node that remains a source of others while its probes of the store fail,
// and against removed entries being retained because the store was slow.
func TestFailedProbeIsReportedButAllowsRemovals(t *testing.T) {
	g := NewWithT(t)
	c := testController("n1")
	now := time.Now()
	c.storeSeenAt = now
	fetch := &message.ReplicaFetch{Have: make([]message.ReplicaRevision, len(replica.Kinds()))}
	c.recordProbe(now, nil, revision.Revision{}, errors.New("no response"))
	g.Expect(isMarkedSilent(c.replyTo(now, fetch))).To(BeTrue())
	g.Expect(c.mayLapse(now, now)).To(BeFalse())
	c.recordProbe(now, []replica.Object{{Name: "main", Revision: revision.Decode(7)}}, revision.Decode(7), nil)
	g.Expect(isMarkedSilent(c.replyTo(now, fetch))).To(BeFalse())
	object, exists := c.replica.Object(replica.Configurations, "main")
	g.Expect(exists).To(BeTrue())
	g.Expect(object.Revision).To(Equal(revision.Decode(7)))
	c.recordProbe(now, []replica.Object{{Name: "main", Revision: revision.Decode(5)}}, revision.Decode(5), nil)
	object, _ = c.replica.Object(replica.Configurations, "main")
	g.Expect(object.Revision).To(Equal(revision.Decode(7)), "an older response changes nothing")
}

// Guards against nodes that keep following a node whose probes of the store fail.
func TestNodeWithFailingProbeIsNoSource(t *testing.T) {
	g := NewWithT(t)
	c := testController("n1")
	node := catalog.Node{Name: "n2"}
	c.applyReply(time.Now(), node, &message.ReplicaAnswer{Silent: true}, nil, nil)
	g.Expect(c.sourceStates["n2"].IsUnavailable()).To(BeTrue())
	c.applyReply(time.Now(), node, &message.ReplicaAnswer{}, nil, nil)
	g.Expect(c.sourceStates["n2"].IsUnavailable()).To(BeFalse())
}

// Guards against all nodes calling an unreachable store at once, and against a node without
// contact to others waiting for them to call the store.
func TestNodesProbeAnUnreachableStoreOneAfterAnother(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	probes := func(position int, outage time.Duration, hasSource bool) bool {
		c := testController("n" + string(rune('0'+position)))
		for i := range 10 {
			c.view.ranked = append(c.view.ranked, catalog.Node{Name: "n" + string(rune('0'+i))})
		}
		for _, kind := range replica.Kinds() {
			c.replica.Replace(now, kind, revision.Decode(1), nil, false)
		}
		c.storeSeenAt = now.Add(-outage)
		if hasSource {
			c.sourceSeenAt = now
		}
		return !c.defersStoreProbe(now)
	}
	count := func(outage time.Duration, hasSource bool) (total int) {
		for i := range 10 {
			if probes(i, outage, hasSource) {
				total++
			}
		}
		return total
	}
	g.Expect(count(staleThreshold, true)).To(Equal(1))
	g.Expect(count(staleThreshold+4*storeProbeStagger, true)).To(Equal(5))
	g.Expect(count(staleThreshold+9*storeProbeStagger, true)).To(Equal(10))
	g.Expect(count(staleThreshold, false)).To(Equal(10))
}

// Guards against a first start of the whole system at which each node ranks among the first
// of a node list that is still short, and reads the whole store.
func TestNewSystemIsFormingOnlyAtFirstStart(t *testing.T) {
	g := NewWithT(t)
	c := testController("n1")
	c.options.Settings.FirstStart = true
	now := c.started
	g.Expect(c.isForming(now)).To(BeTrue())
	g.Expect(c.isForming(now.Add(formingPeriod))).To(BeFalse())
	c.options.Settings.FirstStart = false
	g.Expect(c.isForming(now)).To(BeFalse())
}
