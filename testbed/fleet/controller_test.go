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

// holder returns the node that holds the controller lease by the platform.
func holder(f *fleet.Fleet) *fleet.Node {
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

// statusLog follows the statuses that controllers store.
type statusLog struct {
	f       *fleet.Fleet
	g       *WithT
	version uint64
	epochs  map[string]int
	rollout api.RolloutStatus
	highest float64 // largest share that was stored
}

func newStatusLog(g *WithT, f *fleet.Fleet) *statusLog {
	return &statusLog{f: f, g: g, epochs: map[string]int{}}
}

// check fails when a write of an older epoch took effect after one of a newer
// epoch, when a share was raised under another epoch than the newest, or when a
// node sends more to the new version than was ever stored.
func (l *statusLog) check() {
	// The shares are read first, so that none is newer than what the history shows.
	shares := map[string]float64{}
	for _, node := range l.f.Nodes {
		shares[node.Name] = newShare(node)
	}
	for _, event := range l.f.Platform.Store.History(l.version) {
		l.version = event.Object.Version
		switch event.Object.Kind {
		case objectstore.KindRolloutStatus, objectstore.KindDataCentreStatus, objectstore.KindFleetStatus:
			var status struct {
				Epoch int `json:"epoch"`
			}
			l.g.Expect(json.Unmarshal(event.Object.Value, &status)).To(Succeed())
			key := event.Object.Kind + "/" + event.Object.Name
			l.g.Expect(status.Epoch).To(BeNumerically(">=", l.epochs[key]), "write of an old holder took effect")
			l.epochs[key] = status.Epoch
		}
		if event.Object.Kind == objectstore.KindRolloutStatus {
			var next api.RolloutStatus
			l.g.Expect(json.Unmarshal(event.Object.Value, &next)).To(Succeed())
			if l.rollout.Blocked && next.Generation == l.rollout.Generation {
				l.g.Expect(next.Blocked).To(BeTrue(), "a block was lifted")
			}
			l.rollout = next
			l.highest = max(l.highest, next.SharePercent/100)
		}
	}
	for name, share := range shares {
		l.g.Expect(share).To(BeNumerically("<=", l.highest), "%s sends more than was stored", name)
	}
}

// pauseAt is a moment of a rollout at which its controller is paused: before the
// n-th write of the status is sent, or after it took effect. Writes are counted
// from the start, or from when the new version begins to fail.
type pauseAt struct {
	write    int
	answered bool
	failing  int // percent of the new version's requests that fail, once it has a share
}

func (p pauseAt) String() string {
	return fmt.Sprintf("write %d answered %v failing %d", p.write, p.answered, p.failing)
}

// steps returns the cells that a pause at this moment belongs to.
func (p pauseAt) steps() []faultmatrix.Step {
	switch {
	case p.failing > 0:
		return []faultmatrix.Step{faultmatrix.MoveRollBack, faultmatrix.MoveJudge, faultmatrix.LeaseAct}
	case p.write == 1 && !p.answered:
		return []faultmatrix.Step{faultmatrix.MovePlan, faultmatrix.LeaseAct}
	case p.answered:
		return []faultmatrix.Step{faultmatrix.MoveCommit, faultmatrix.LeaseAct}
	default:
		return []faultmatrix.Step{faultmatrix.MoveStep, faultmatrix.LeaseAct}
	}
}

// Guards against a controller that was paused past its lease and then acts on
// what it decided before: a write that takes effect after its successor's, a
// share that it raises, a bad version that it gives traffic to again; and against
// a rollout that its successor does not finish.
func TestControllerPausedAtEachStepOfARollout(t *testing.T) {
	cases := []pauseAt{}
	for write := 1; write <= 6; write++ {
		cases = append(cases, pauseAt{write, false, 0}, pauseAt{write, true, 0})
	}
	cases = append(cases, pauseAt{1, false, 60}, pauseAt{1, true, 60})
	for _, at := range cases {
		t.Run(at.String(), func(t *testing.T) {
			t.Parallel()
			faultmatrix.Proves(t, faultmatrix.NodePaused, at.steps()...)
			pauseController(t, at)
		})
	}
}

func pauseController(t *testing.T, at pauseAt) {
	var writes atomic.Int32
	var counting atomic.Bool
	var paused atomic.Pointer[fleet.Node]
	prepare := func(f *fleet.Fleet) {
		f.OnCall = func(call fleet.Call) {
			if !counting.Load() || !call.Writes(objectstore.KindRolloutStatus) || call.Answered != at.answered {
				return
			}
			if int(writes.Add(1)) == at.write {
				f.Pause(call.Node)
				paused.Store(call.Node)
			}
		}
	}
	inFleetWith(t, 5, prepare, func(g *WithT, f *fleet.Fleet) {
		time.Sleep(20 * time.Second) // the leases are held by now
		log := newStatusLog(g, f)
		counting.Store(at.failing == 0)
		code, _ := f.Nodes[0].Apply(rollout(time.Now().Add(2 * time.Minute)))
		g.Expect(code).To(Equal(200))
		step := func(condition func() bool) func() bool {
			return func() bool { log.check(); return condition() }
		}
		if at.failing > 0 {
			g.Expect(workUntil(f, 2*time.Minute, 0, step(func() bool { return newShare(f.Nodes[1]) >= 0.05 }))).To(BeTrue())
		}
		counting.Store(true)
		g.Expect(workUntil(f, 2*time.Minute, at.failing, step(func() bool { return paused.Load() != nil }))).To(BeTrue())
		old := paused.Load()
		workUntil(f, faultTime, at.failing, step(func() bool { return false }))
		g.Expect(holder(f)).NotTo(Equal(old), "nobody took over")
		f.Resume(old)
		if at.failing > 0 {
			blocked := step(func() bool { return log.rollout.Blocked && noShare(f) })
			g.Expect(workUntil(f, 30*time.Second, at.failing, blocked)).To(BeTrue())
			workUntil(f, 20*time.Second, 0, step(func() bool {
				g.Expect(noShare(f)).To(BeTrue(), "the share was raised again")
				return false
			}))
			return
		}
		completed := func() bool { return log.rollout.Phase == api.PhaseCompleted && newShare(f.Nodes[3]) == 1 }
		done := workUntil(f, 2*time.Minute, 0, step(completed))
		g.Expect(done).To(BeTrue(), "the successor does not finish: %+v", log.rollout)
	})
}

func noShare(f *fleet.Fleet) bool {
	for _, node := range f.Nodes {
		if newShare(node) > 0 {
			return false
		}
	}
	return true
}

// Guards against a bad version that keeps its share, or gets it again, when it
// shows during an outage of the platform in which the controller is lost too, and
// against a rollback that is not stored once the platform is back.
func TestRollBackWithoutPlatformAndController(t *testing.T) {
	lose := map[string]struct {
		row  faultmatrix.Fault
		lose func(f *fleet.Fleet, node *fleet.Node)
		back func(f *fleet.Fleet, node *fleet.Node)
	}{
		"killed":    {faultmatrix.NodeKilled, (*fleet.Fleet).Kill, (*fleet.Fleet).Restart},
		"paused":    {faultmatrix.NodePaused, (*fleet.Fleet).Pause, (*fleet.Fleet).Resume},
		"restarted": {faultmatrix.NodeRestarted, func(f *fleet.Fleet, n *fleet.Node) { f.Kill(n); f.Restart(n) }, func(*fleet.Fleet, *fleet.Node) {}},
	}
	outages := map[string]struct {
		row    faultmatrix.Fault
		faults metastore.Faults
	}{
		"down":     {faultmatrix.PlatformDown, metastore.Faults{Down: true}},
		"refusing": {faultmatrix.PlatformRefusing, metastore.Faults{RejectByRate: true}},
		"slow":     {faultmatrix.PlatformSlow, metastore.Faults{DelayMs: 5000}},
	}
	for name, loss := range lose {
		for kind, outage := range outages {
			t.Run(name+" while "+kind, func(t *testing.T) {
				t.Parallel()
				faultmatrix.Proves(t, loss.row, faultmatrix.MoveRollBack)
				faultmatrix.Proves(t, outage.row, faultmatrix.MoveRollBack, faultmatrix.LeaseLose)
				inFleet(t, 5, func(g *WithT, f *fleet.Fleet) {
					time.Sleep(20 * time.Second)
					log := newStatusLog(g, f)
					code, _ := f.Nodes[0].Apply(rollout(time.Now().Add(4 * time.Minute)))
					g.Expect(code).To(Equal(200))
					g.Expect(workUntil(f, 4*time.Minute, 0, func() bool { log.check(); return newShare(f.Nodes[1]) >= 0.05 })).To(BeTrue())
					old := holder(f)
					f.Platform.SetFaults(outage.faults)
					loss.lose(f, old)
					all := f.Nodes
					f.Nodes = without(f.Nodes, old)
					g.Expect(workUntil(f, 20*time.Second, 60, func() bool { return noShare(f) })).To(BeTrue(), "a bad version keeps its share")
					time.Sleep(faultTime)
					loss.back(f, old)
					f.Nodes = all
					g.Expect(fleet.WaitUntil(joinTime, func() bool { return old.Published.Load() != nil && noShare(f) })).To(BeTrue())
					f.Platform.SetFaults(metastore.Faults{})
					stored := func() bool {
						log.check()
						g.Expect(noShare(f)).To(BeTrue(), "the share was raised again")
						return log.rollout.Blocked
					}
					g.Expect(workUntil(f, time.Minute, 0, stored)).To(BeTrue(), "the rollback was not stored")
				})
			})
		}
	}
}

func without(nodes []*fleet.Node, gone *fleet.Node) []*fleet.Node {
	rest := []*fleet.Node{}
	for _, node := range nodes {
		if node != gone {
			rest = append(rest, node)
		}
	}
	return rest
}
