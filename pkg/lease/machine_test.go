package lease

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/internal/faultmatrix"
	"github.com/fireflychute/fireflychute/pkg/api"
)

// Guards against a holder that loses its lease because a response was lost, and against one that
// mistakes the record of another process with the same node name for its own.
func TestLostResponseIsRecognisedByOperation(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.ResponseLost, faultmatrix.LeaseAcquire)
	g := NewWithT(t)
	now := time.Now()
	m := New("controller", "a", duration)
	m.Next(now, 0)
	m.Observed(now, api.LeaseRecord{}, 0)
	write := m.Next(now, 0)
	g.Expect(write.Action).To(Equal(Write))
	m.Failed(now.Add(time.Second), errors.New("response lost"))
	now = now.Add(2 * time.Second)
	g.Expect(m.Next(now, 0).Action).To(Equal(Read))
	m.Observed(now, write.Record, 5)
	epoch, held := m.Held(now)
	g.Expect(held).To(BeTrue())
	g.Expect(epoch).To(BeEquivalentTo(1))

	other := New("controller", "a", duration)
	other.Next(now, 0)
	other.Observed(now, write.Record, 5)
	_, held = other.Held(now)
	g.Expect(held).To(BeFalse())
	g.Expect(other.Next(now, 0).Action).To(Equal(Wait))
}

// Guards against a holder that acts after a pause in which its lease lapsed, against one that
// reuses its epoch after another node held the lease, and against candidates that write without
// reading whether the holder renewed.
func TestPausedHolderNoLongerHolds(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.NodePaused, faultmatrix.LeaseRenew, faultmatrix.LeaseLose)
	g := NewWithT(t)
	now := time.Now()
	m := New("controller", "a", duration)
	m.Next(now, 0)
	m.Observed(now, api.LeaseRecord{}, 0)
	m.Next(now, 0)
	m.Written(now, 5)
	now = now.Add(duration)
	_, held := m.Held(now)
	g.Expect(held).To(BeFalse())
	g.Expect(m.Next(now, 0).Action).To(Equal(Read))
	m.Observed(now, api.LeaseRecord{Holder: "b", Epoch: 2, DurationMs: 10000}, 9)
	step := m.Next(now, 0)
	g.Expect(step).To(Equal(Step{Action: Wait, Until: now.Add(duration)}))
	g.Expect(m.Next(step.Until, 0).Action).To(Equal(Read))
	m.Observed(step.Until, api.LeaseRecord{Holder: "b", Epoch: 2, DurationMs: 10000}, 9)
	step = m.Next(step.Until, 0)
	g.Expect(step.Record.Epoch).To(Equal(3))
	g.Expect(step.IfVersion).To(BeEquivalentTo(9))
}

// Guards against a node that waits for a released lease to lapse, and against candidates that all
// write at the same time.
func TestReleasedLeaseIsAcquiredByRank(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	for rank, wait := range []time.Duration{0, time.Second, 2 * time.Second} {
		m := New("controller", "a", duration)
		m.Next(now, rank)
		m.Observed(now, api.LeaseRecord{Epoch: 4}, 9)
		if wait > 0 {
			g.Expect(m.Next(now, rank)).To(Equal(Step{Action: Wait, Until: now.Add(wait)}))
			g.Expect(m.Next(now.Add(wait), rank).Action).To(Equal(Read))
			m.Observed(now.Add(wait), api.LeaseRecord{Epoch: 4}, 9)
		}
		step := m.Next(now.Add(wait), rank)
		g.Expect(step.Action).To(Equal(Write))
		g.Expect(step.Record.Epoch).To(Equal(5))
	}
}

// Guards against a delayed response to an earlier write being matched to a later write. The lease
// would then be measured from the later write and held for too long.
func TestLateResponseIsNotMatchedToTheLastWrite(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	m := New("controller", "a", duration)
	m.Next(now, 0)
	m.Observed(now, api.LeaseRecord{}, 0)
	first := m.Next(now, 0)
	now = now.Add(duration)
	g.Expect(m.Next(now, 0).Action).To(Equal(Read))
	m.Observed(now, api.LeaseRecord{}, 0)
	g.Expect(m.Next(now, 0).Action).To(Equal(Write))
	m.Written(now, 5)
	g.Expect(m.Next(now, 0).Action).To(Equal(Read))
	m.Observed(now, first.Record, 5)
	_, held := m.Held(now)
	g.Expect(held).To(BeFalse())
}
