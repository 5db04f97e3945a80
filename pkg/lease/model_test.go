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

// simulation is a platform with one lease object, and nodes with calls in flight to it.
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
	s := &simulation{now: time.Now(), epochs: map[uint64]*StateMachine{}}
	for _, name := range []string{"a", "b", "c"} {
		s.nodes = append(s.nodes, &testNode{New("controller", name, duration), name, false})
	}
	return s
}

func (s *simulation) run(t *rapid.T, d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(tick)
		s.advanceCalls(t)
		for rank, node := range s.nodes {
			if !node.paused {
				s.startCall(t, node, node.Next(s.now, rank))
			}
		}
		s.checkInvariants(t)
	}
}

func (s *simulation) startCall(t *rapid.T, node *testNode, step Step) {
	if step.Action == Wait {
		return
	}
	c := &call{node: node, machine: node.StateMachine, step: step, appliesAt: s.now.Add(tick), respondsAt: s.now.Add(2 * tick)}
	if s.slow {
		c.appliesAt = c.appliesAt.Add(time.Duration(rapid.IntRange(0, 150).Draw(t, "effect")) * tick)
		c.respondsAt = c.appliesAt.Add(time.Duration(rapid.IntRange(1, 150).Draw(t, "response")) * tick)
	}
	c.lost = s.losesResponses && rapid.Bool().Draw(t, "lost")
	s.calls = append(s.calls, c)
}

// advanceCalls applies calls and delivers responses that are due. A paused node gets its responses
// when it resumes.
func (s *simulation) advanceCalls(t *rapid.T) {
	calls := s.calls
	s.calls = nil
	for _, c := range calls {
		if !c.applied && !s.now.Before(c.appliesAt) {
			s.apply(c)
		}
		if !c.applied || s.now.Before(c.respondsAt) || c.node.paused {
			s.calls = append(s.calls, c)
		} else if c.machine == c.node.StateMachine {
			s.deliver(c)
		}
		s.checkInvariants(t)
	}
}

func (s *simulation) apply(c *call) {
	c.applied = true
	switch {
	case s.down:
		c.rejected = true
	case c.step.Action == Read:
		c.record, c.version = s.record, s.version
	case c.step.IfVersion != s.version:
		c.rejected = true
	default:
		s.version += 3
		s.record, c.version = c.step.Record, s.version
	}
}

func (s *simulation) deliver(c *call) {
	switch {
	case c.lost, c.rejected:
		c.machine.Failed(s.now, errors.New("rejected, or the response was lost"))
	case c.step.Action == Read:
		c.machine.Observed(s.now, c.record, c.version)
	default:
		c.machine.Written(s.now, c.version)
	}
}

// checkInvariants fails the test if two nodes hold the lease at the same time, or if two processes
// held it under the same epoch.
func (s *simulation) checkInvariants(t *rapid.T) {
	holders := 0
	for _, node := range s.nodes {
		epoch, held := node.Held(s.now)
		if !held {
			continue
		}
		holders++
		if holder, ok := s.epochs[epoch]; ok && holder != node.StateMachine {
			t.Fatalf("two holders with epoch %d", epoch)
		}
		s.epochs[epoch] = node.StateMachine
	}
	if holders > 1 {
		t.Fatalf("%d holders at the same time", holders)
	}
}

// Guards against two holders, at the same time or under the same epoch, when holders pause and
// restart, responses are lost or delayed, writes take effect late and the platform is down; and
// against a lease that no node acquires after these faults.
func TestAtMostOneHolder(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.NodePaused, faultmatrix.LeaseAcquire, faultmatrix.LeaseRenew, faultmatrix.LeaseLose)
	faultmatrix.Proves(t, faultmatrix.NodeRestarted, faultmatrix.LeaseAcquire, faultmatrix.LeaseRenew, faultmatrix.LeaseLose)
	faultmatrix.Proves(t, faultmatrix.PlatformDown, faultmatrix.LeaseAcquire, faultmatrix.LeaseRenew, faultmatrix.LeaseLose)
	faultmatrix.Proves(t, faultmatrix.PlatformSlow, faultmatrix.LeaseAcquire, faultmatrix.LeaseRenew, faultmatrix.LeaseLose)
	faultmatrix.Proves(t, faultmatrix.ResponseLost, faultmatrix.LeaseAcquire, faultmatrix.LeaseRenew, faultmatrix.LeaseLose)
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		s.run(t, time.Second)
		if _, held := s.nodes[0].Held(s.now); !held {
			t.Fatal("rank 0 did not acquire a free lease")
		}
		node := func() *testNode { return rapid.SampledFrom(s.nodes).Draw(t, "node") }
		t.Repeat(map[string]func(*rapid.T){
			"run":    func(t *rapid.T) { s.run(t, time.Duration(rapid.IntRange(1, 250).Draw(t, "ticks"))*tick) },
			"down":   func(t *rapid.T) { s.down = rapid.Bool().Draw(t, "down") },
			"lossy":  func(t *rapid.T) { s.losesResponses = rapid.Bool().Draw(t, "lossy") },
			"slow":   func(t *rapid.T) { s.slow = rapid.Bool().Draw(t, "slow") },
			"pause":  func(*rapid.T) { node().paused = true },
			"resume": func(*rapid.T) { node().paused = false },
			"restart": func(*rapid.T) {
				n := node()
				n.StateMachine = New("controller", n.name, duration)
			},
			"release": func(t *rapid.T) {
				if n := node(); !n.paused {
					s.startCall(t, n, n.Release())
				}
			},
		})
		s.down, s.losesResponses, s.slow = false, false, false
		for _, n := range s.nodes {
			n.paused = false
		}
		s.run(t, 6*duration)
		for _, n := range s.nodes {
			if _, held := n.Held(s.now); held {
				return
			}
		}
		t.Fatal("no node acquired the lease")
	})
}
