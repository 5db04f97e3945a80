package lease

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/fireflychute/fireflychute/internal/faultmatrix"
	"github.com/fireflychute/fireflychute/pkg/api"
)

const (
	duration = 10 * time.Second
	tick     = 100 * time.Millisecond
)

// simulation is a platform with one lease object, and nodes with calls under way.
type simulation struct {
	now            time.Time
	record         api.LeaseRecord
	version        uint64
	down           bool
	losesResponses bool
	slow           bool
	nodes          []*testNode
	calls          []*call
	epochs         map[uint64]*StateMachine
}

type testNode struct {
	*StateMachine
	name   string
	paused bool
}

type call struct {
	node                  *testNode
	machine               *StateMachine
	step                  Step
	appliesAt, respondsAt time.Time
	applied, lost         bool
	record                api.LeaseRecord
	version               uint64
	rejected              bool
}

func newSimulation() *simulation {
	w := &simulation{now: time.Now(), epochs: map[uint64]*StateMachine{}}
	for _, name := range []string{"a", "b", "c"} {
		w.nodes = append(w.nodes, &testNode{New("controller", name, duration), name, false})
	}
	return w
}

func (w *simulation) run(t *rapid.T, d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(tick)
		w.advanceCalls(t)
		for rank, node := range w.nodes {
			if !node.paused {
				w.startCall(t, node, node.Next(w.now, rank))
			}
		}
		w.checkInvariants(t)
	}
}

func (w *simulation) startCall(t *rapid.T, node *testNode, step Step) {
	if step.Action == Wait {
		return
	}
	c := &call{node: node, machine: node.StateMachine, step: step, appliesAt: w.now.Add(tick), respondsAt: w.now.Add(2 * tick)}
	if w.slow {
		c.appliesAt = c.appliesAt.Add(time.Duration(rapid.IntRange(0, 150).Draw(t, "effect")) * tick)
		c.respondsAt = c.appliesAt.Add(time.Duration(rapid.IntRange(1, 150).Draw(t, "answer")) * tick)
	}
	c.lost = w.losesResponses && rapid.Bool().Draw(t, "lost")
	w.calls = append(w.calls, c)
}

func (w *simulation) advanceCalls(t *rapid.T) {
	calls := w.calls
	w.calls = nil
	for _, c := range calls {
		if !c.applied && !w.now.Before(c.appliesAt) {
			w.apply(c)
		}
		if !c.applied || w.now.Before(c.respondsAt) || c.node.paused {
			w.calls = append(w.calls, c)
		} else if c.machine == c.node.StateMachine {
			w.deliver(c)
		}
		w.checkInvariants(t)
	}
}

func (w *simulation) apply(c *call) {
	c.applied = true
	switch {
	case w.down:
		c.rejected = true
	case c.step.Action == Read:
		c.record, c.version = w.record, w.version
	case c.step.IfVersion != w.version:
		c.rejected = true
	default:
		w.version += 3
		w.record, c.version = c.step.Record, w.version
	}
}

func (w *simulation) deliver(c *call) {
	switch {
	case c.lost, c.rejected:
		c.machine.Failed(w.now, errors.New("refused, or the answer was lost"))
	case c.step.Action == Read:
		c.machine.Observed(w.now, c.record, c.version)
	default:
		c.machine.Written(w.now, c.version)
	}
}

func (w *simulation) checkInvariants(t *rapid.T) {
	holders := 0
	for _, node := range w.nodes {
		epoch, held := node.Held(w.now)
		if !held {
			continue
		}
		holders++
		if holder, ok := w.epochs[epoch]; ok && holder != node.StateMachine {
			t.Fatalf("two holders under epoch %d", epoch)
		}
		w.epochs[epoch] = node.StateMachine
	}
	if holders > 1 {
		t.Fatalf("%d holders at once", holders)
	}
}

// Guards against two holders, at once or under one epoch, when holders pause and
// restart, answers are lost or late, writes take effect late and the platform is
// down; and against a lease that nobody acquires after that.
func TestAtMostOneHolder(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.NodePaused, faultmatrix.LeaseAcquire, faultmatrix.LeaseRenew, faultmatrix.LeaseLose)
	faultmatrix.Proves(t, faultmatrix.NodeRestarted, faultmatrix.LeaseAcquire, faultmatrix.LeaseRenew, faultmatrix.LeaseLose)
	faultmatrix.Proves(t, faultmatrix.PlatformDown, faultmatrix.LeaseAcquire, faultmatrix.LeaseRenew, faultmatrix.LeaseLose)
	faultmatrix.Proves(t, faultmatrix.PlatformSlow, faultmatrix.LeaseAcquire, faultmatrix.LeaseRenew, faultmatrix.LeaseLose)
	faultmatrix.Proves(t, faultmatrix.AnswerLost, faultmatrix.LeaseAcquire, faultmatrix.LeaseRenew, faultmatrix.LeaseLose)
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation()
		w.run(t, time.Second)
		if _, held := w.nodes[0].Held(w.now); !held {
			t.Fatal("rank 0 did not acquire a free lease")
		}
		node := func() *testNode { return rapid.SampledFrom(w.nodes).Draw(t, "node") }
		t.Repeat(map[string]func(*rapid.T){
			"run":    func(t *rapid.T) { w.run(t, time.Duration(rapid.IntRange(1, 250).Draw(t, "ticks"))*tick) },
			"down":   func(t *rapid.T) { w.down = rapid.Bool().Draw(t, "down") },
			"lossy":  func(t *rapid.T) { w.losesResponses = rapid.Bool().Draw(t, "lossy") },
			"slow":   func(t *rapid.T) { w.slow = rapid.Bool().Draw(t, "slow") },
			"pause":  func(*rapid.T) { node().paused = true },
			"resume": func(*rapid.T) { node().paused = false },
			"restart": func(*rapid.T) {
				n := node()
				n.StateMachine = New("controller", n.name, duration)
			},
			"release": func(t *rapid.T) {
				if n := node(); !n.paused {
					w.startCall(t, n, n.Release())
				}
			},
		})
		w.down, w.losesResponses, w.slow = false, false, false
		for _, n := range w.nodes {
			n.paused = false
		}
		w.run(t, 6*duration)
		for _, n := range w.nodes {
			if _, held := n.Held(w.now); held {
				return
			}
		}
		t.Fatal("nobody acquired the lease")
	})
}
