package fleet_test

import (
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/internal/faultmatrix"
	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/objectstore"
	"github.com/fireflychute/fireflychute/testbed/fleet"
	"github.com/fireflychute/fireflychute/testbed/metastore"
)

// controllerNode returns the holder of the controller lease as stored on the platform, or nil.
func controllerNode(f *fleet.Fleet) *fleet.Node {
	var record api.LeaseRecord
	for _, event := range f.Platform.Store.History(0) {
		if event.Object.Kind == objectstore.KindLease && event.Object.Name == "controller" {
			_ = json.Unmarshal(event.Object.Value, &record)
		}
	}
	for _, node := range f.Nodes {
		if node.Name == record.Holder {
			return node
		}
	}
	return nil
}

// statusChecker checks the statuses that controllers store.
type statusChecker struct {
	f        *fleet.Fleet
	g        *WithT
	version  uint64
	epochs   map[string]int
	rollout  api.RolloutStatus
	maxShare float64 // largest share of the new version ever stored
}

func newStatusChecker(g *WithT, f *fleet.Fleet) *statusChecker {
	return &statusChecker{f: f, g: g, epochs: map[string]int{}}
}

// check fails if a write of an older epoch, such as a raised share, took effect after one of
// a newer epoch, if a blocked version was unblocked in the same generation, or if a node
// gives the new version a larger share than was ever stored.
func (c *statusChecker) check() {
	// Shares are read before the history, so that none is newer than the history.
	shares := map[string]float64{}
	for _, node := range c.f.Nodes {
		shares[node.Name] = newVersionShare(node)
	}
	for _, event := range c.f.Platform.Store.History(c.version) {
		c.version = event.Object.Version
		switch event.Object.Kind {
		case objectstore.KindRolloutStatus, objectstore.KindDataCentreStatus, objectstore.KindFleetStatus:
			var status struct {
				Epoch int `json:"epoch"`
			}
			c.g.Expect(json.Unmarshal(event.Object.Value, &status)).To(Succeed())
			key := event.Object.Kind + "/" + event.Object.Name
			c.g.Expect(status.Epoch).To(BeNumerically(">=", c.epochs[key]), "a write of a previous lease holder took effect")
			c.epochs[key] = status.Epoch
		}
		if event.Object.Kind == objectstore.KindRolloutStatus {
			var next api.RolloutStatus
			c.g.Expect(json.Unmarshal(event.Object.Value, &next)).To(Succeed())
			if c.rollout.Blocked && next.Generation == c.rollout.Generation {
				c.g.Expect(next.Blocked).To(BeTrue(), "a blocked version was unblocked")
			}
			c.rollout = next
			c.maxShare = max(c.maxShare, next.SharePercent/100)
		}
	}
	for name, share := range shares {
		c.g.Expect(share).To(BeNumerically("<=", c.maxShare), "%s gives the new version a larger share than was stored", name)
	}
}

// pausePoint is the point of a rollout at which its controller is paused: before the n-th
// write of the rollout status is sent, or after it took effect. Writes are counted from
// the start of the rollout, or from when the new version begins to fail.
type pausePoint struct {
	write          int
	completed      bool
	failurePercent int // percent of the new version's requests that fail, once it has a share
}

func (p pausePoint) String() string {
	return fmt.Sprintf("write %d completed %v failing %d", p.write, p.completed, p.failurePercent)
}

// coveredSteps returns the steps of the fault matrix that a pause at this point covers.
func (p pausePoint) coveredSteps() []faultmatrix.Step {
	switch {
	case p.failurePercent > 0:
		return []faultmatrix.Step{faultmatrix.TransitionRollBack, faultmatrix.TransitionJudge, faultmatrix.LeaseAct}
	case p.write == 1 && !p.completed:
		return []faultmatrix.Step{faultmatrix.TransitionPlan, faultmatrix.LeaseAct}
	case p.completed:
		return []faultmatrix.Step{faultmatrix.TransitionCommit, faultmatrix.LeaseAct}
	default:
		return []faultmatrix.Step{faultmatrix.TransitionStep, faultmatrix.LeaseAct}
	}
}

// Guards against a controller that is paused until its lease has expired and then acts on
// an earlier decision: a write that takes effect after its successor's, a raised share, or
// a bad version that receives traffic again. Also guards against a rollout that the
// successor does not complete.
func TestControllerPausedAtEachStepOfARollout(t *testing.T) {
	cases := []pausePoint{}
	for write := 1; write <= 6; write++ {
		cases = append(cases, pausePoint{write, false, 0}, pausePoint{write, true, 0})
	}
	cases = append(cases, pausePoint{1, false, 60}, pausePoint{1, true, 60})
	for _, point := range cases {
		t.Run(point.String(), func(t *testing.T) {
			t.Parallel()
			faultmatrix.Proves(t, faultmatrix.NodePaused, point.coveredSteps()...)
			pauseController(t, point)
		})
	}
}

func pauseController(t *testing.T, point pausePoint) {
	var writes atomic.Int32
	var counting atomic.Bool
	var paused atomic.Pointer[fleet.Node]
	prepare := func(f *fleet.Fleet) {
		f.OnCall = func(call fleet.Call) {
			if !counting.Load() || !call.IsWriteOf(objectstore.KindRolloutStatus) || call.Completed != point.completed {
				return
			}
			if int(writes.Add(1)) == point.write {
				f.Pause(call.Node)
				paused.Store(call.Node)
			}
		}
	}
	withPreparedFleet(t, 5, prepare, func(g *WithT, f *fleet.Fleet) {
		time.Sleep(20 * time.Second) // wait until the leases are acquired
		checker := newStatusChecker(g, f)
		counting.Store(point.failurePercent == 0)
		code, _ := f.Nodes[0].Apply(rollout(time.Now().Add(2 * time.Minute)))
		g.Expect(code).To(Equal(200))
		checked := func(condition func() bool) func() bool {
			return func() bool { checker.check(); return condition() }
		}
		if point.failurePercent > 0 {
			g.Expect(recordOutcomesUntil(f, 2*time.Minute, 0, checked(func() bool { return newVersionShare(f.Nodes[1]) >= 0.05 }))).To(BeTrue())
		}
		counting.Store(true)
		g.Expect(recordOutcomesUntil(f, 2*time.Minute, point.failurePercent, checked(func() bool { return paused.Load() != nil }))).To(BeTrue())
		previous := paused.Load()
		recordOutcomesUntil(f, faultDuration, point.failurePercent, checked(func() bool { return false }))
		g.Expect(controllerNode(f)).NotTo(Equal(previous), "no other node acquired the controller lease")
		f.Resume(previous)
		if point.failurePercent > 0 {
			blocked := checked(func() bool { return checker.rollout.Blocked && hasNoShare(f) })
			g.Expect(recordOutcomesUntil(f, 30*time.Second, point.failurePercent, blocked)).To(BeTrue())
			recordOutcomesUntil(f, 20*time.Second, 0, checked(func() bool {
				g.Expect(hasNoShare(f)).To(BeTrue(), "the blocked version received a share again")
				return false
			}))
			return
		}
		completed := func() bool { return checker.rollout.Phase == api.PhaseCompleted && newVersionShare(f.Nodes[3]) == 1 }
		done := recordOutcomesUntil(f, 2*time.Minute, 0, checked(completed))
		g.Expect(done).To(BeTrue(), "the successor did not complete the rollout: %+v", checker.rollout)
	})
}

func hasNoShare(f *fleet.Fleet) bool {
	for _, node := range f.Nodes {
		if newVersionShare(node) > 0 {
			return false
		}
	}
	return true
}

// Guards against a bad version that keeps or regains its share because it starts to fail
// during a platform outage in which the controller is lost too, and against a rollback
// that is not stored after the outage.
func TestRollBackWithoutPlatformAndController(t *testing.T) {
	losses := map[string]struct {
		fault faultmatrix.Fault
		begin func(f *fleet.Fleet, node *fleet.Node)
		end   func(f *fleet.Fleet, node *fleet.Node)
	}{
		"killed":    {faultmatrix.NodeKilled, (*fleet.Fleet).Kill, (*fleet.Fleet).Restart},
		"paused":    {faultmatrix.NodePaused, (*fleet.Fleet).Pause, (*fleet.Fleet).Resume},
		"restarted": {faultmatrix.NodeRestarted, func(f *fleet.Fleet, n *fleet.Node) { f.Kill(n); f.Restart(n) }, func(*fleet.Fleet, *fleet.Node) {}},
	}
	outages := map[string]struct {
		fault  faultmatrix.Fault
		faults metastore.Faults
	}{
		"down":     {faultmatrix.PlatformDown, metastore.Faults{Down: true}},
		"refusing": {faultmatrix.PlatformRejecting, metastore.Faults{RejectByRate: true}},
		"slow":     {faultmatrix.PlatformSlow, metastore.Faults{DelayMs: 5000}},
	}
	for name, loss := range losses {
		for outageName, outage := range outages {
			t.Run(name+" while "+outageName, func(t *testing.T) {
				t.Parallel()
				faultmatrix.Proves(t, loss.fault, faultmatrix.TransitionRollBack)
				faultmatrix.Proves(t, outage.fault, faultmatrix.TransitionRollBack, faultmatrix.LeaseLose)
				withFleet(t, 5, func(g *WithT, f *fleet.Fleet) {
					time.Sleep(20 * time.Second)
					checker := newStatusChecker(g, f)
					code, _ := f.Nodes[0].Apply(rollout(time.Now().Add(4 * time.Minute)))
					g.Expect(code).To(Equal(200))
					g.Expect(recordOutcomesUntil(f, 4*time.Minute, 0, func() bool { checker.check(); return newVersionShare(f.Nodes[1]) >= 0.05 })).To(BeTrue())
					previous := controllerNode(f)
					f.Platform.SetFaults(outage.faults)
					loss.begin(f, previous)
					all := f.Nodes
					f.Nodes = without(f.Nodes, previous)
					g.Expect(recordOutcomesUntil(f, 20*time.Second, 60, func() bool { return hasNoShare(f) })).To(BeTrue(), "a bad version kept its share")
					time.Sleep(faultDuration)
					loss.end(f, previous)
					f.Nodes = all
					g.Expect(fleet.WaitUntil(startLimit, func() bool { return previous.Published.Load() != nil && hasNoShare(f) })).To(BeTrue())
					f.Platform.SetFaults(metastore.Faults{})
					stored := func() bool {
						checker.check()
						g.Expect(hasNoShare(f)).To(BeTrue(), "the blocked version received a share again")
						return checker.rollout.Blocked
					}
					g.Expect(recordOutcomesUntil(f, time.Minute, 0, stored)).To(BeTrue(), "the rollback was not stored after the outage")
				})
			})
		}
	}
}

func without(nodes []*fleet.Node, excluded *fleet.Node) []*fleet.Node {
	rest := []*fleet.Node{}
	for _, node := range nodes {
		if node != excluded {
			rest = append(rest, node)
		}
	}
	return rest
}
