package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/internal/faultmatrix"
	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/operator"
	"github.com/fireflychute/fireflychute/pkg/snapshot"
	"github.com/fireflychute/fireflychute/testbed/fleet"
	"github.com/fireflychute/fireflychute/testbed/metastore"
)

func setDataCentreState(name string, state api.DataCentreState) operator.ApplyRequest {
	return operator.ApplyRequest{Objects: []api.Object{object(api.KindDataCentre, name, dataCentre(state))}}
}

// Guards against new work for a data centre a few seconds after it was taken out
// (P3), and against full load on it when it comes back cold (P2).
func TestDataCentreOutReceivesNoNewWork(t *testing.T) {
	withFleet(t, 7, func(g *WithT, f *fleet.Fleet) {
		warmUp(f)
		inSouth := func(target *snapshot.Target) bool { return target.DataCentre == "south" }
		g.Expect(hasActiveTarget(f, inSouth)).To(BeTrue())
		code, _ := f.Nodes[0].Apply(setDataCentreState("south", api.DataCentreStateOut))
		g.Expect(code).To(Equal(200))
		time.Sleep(drainLimit)
		g.Expect(hasActiveTarget(f, inSouth)).To(BeFalse())
		code, _ = f.Nodes[1].Apply(setDataCentreState("south", api.DataCentreStateIn))
		g.Expect(code).To(Equal(200))
		time.Sleep(drainLimit)
		g.Expect(hasActiveTarget(f, inSouth)).To(BeTrue())
		g.Expect(unitsPerTarget(f, inSouth)).To(HaveEach(BeNumerically("<=", 1)), "a returned target is cold")
	})
}

// Guards against a change that would leave a service without a place to run.
func TestLastDataCentreCannotBeTakenOut(t *testing.T) {
	withFleet(t, 3, func(g *WithT, f *fleet.Fleet) {
		request := operator.ApplyRequest{}
		for _, name := range fleet.DataCentres {
			request.Objects = append(request.Objects, object(api.KindDataCentre, name, dataCentre(api.DataCentreStateOut)))
		}
		code, _ := f.Nodes[0].Apply(request)
		g.Expect(code).To(BeNumerically(">=", 400))
	})
}

// Guards against a sum of the nodes' units that is above a target's limit, while
// nodes start, are killed and are parted from each other.
func TestUnitsOfAllNodesStayWithinTheLimit(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.NodeKilled, faultmatrix.RequestChoose)
	faultmatrix.Proves(t, faultmatrix.NodeRestarted, faultmatrix.RequestChoose)
	faultmatrix.Proves(t, faultmatrix.RegionsParted, faultmatrix.RequestChoose)
	withFleet(t, 7, func(g *WithT, f *fleet.Fleet) {
		warmUp(f)
		matchAll := func(*snapshot.Target) bool { return true }
		check := func() { g.Expect(unitsPerTarget(f, matchAll)).To(HaveEach(BeNumerically("<=", 12))) }
		steps := []func(){
			func() { f.StartNode() },
			func() { f.Partition(func(address string) int { return int(address[len(address)-6]) % 2 }) },
			func() { f.StartNode() },
			func() { f.Platform.SetFaults(metastore.Faults{Down: true}) },
			func() { f.Heal() },
			func() { f.Kill(f.Nodes[3]); f.Restart(f.Nodes[3]) },
		}
		for _, step := range steps {
			step()
			for range 80 {
				check()
				time.Sleep(100 * time.Millisecond)
			}
		}
	})
}

// warmUp reports so many served requests for every target that the ramps end.
func warmUp(f *fleet.Fleet) {
	const served, rounds = 200, 60
	for range rounds {
		for _, node := range f.Nodes {
			for _, target := range activeTargets(node) {
				if target.Units == 0 {
					continue
				}
				for range served {
					target.Counters.RecordResponse(5*time.Millisecond, false, 20_000)
				}
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// unitsPerTarget adds up the units that the nodes have at each matching target.
func unitsPerTarget(f *fleet.Fleet, match func(*snapshot.Target) bool) []int {
	sums := map[string]int{}
	for _, node := range f.Nodes {
		for _, target := range activeTargets(node) {
			if match(target) {
				sums[target.Address] += target.Units
			}
		}
	}
	units := []int{}
	for _, sum := range sums {
		units = append(units, sum)
	}
	return units
}

func rollout(completeBy time.Time) operator.ApplyRequest {
	return operator.ApplyRequest{Objects: []api.Object{object(api.KindRollout, "labels-v2", api.RolloutSpec{
		Service: service, From: "v1", To: newVersion, CompleteBy: completeBy, MaxUnjudgedSharePercent: 5, State: api.RolloutStateActive,
	})}}
}

// recordOutcomes reports outcomes of both versions on each node, by the shares that the
// nodes send to them now. failing is the part of the new version's that fail.
func recordOutcomes(f *fleet.Fleet, failurePercent int) {
	for _, node := range f.Nodes {
		route := node.Published.Load().Routes[0]
		for _, version := range route.Service.Versions {
			recorder := route.Recorders[version.Name]
			if recorder == nil {
				continue // the rollout is not in force here yet
			}
			for i := range int(version.Share * 200) {
				recorder.Record(time.Duration(4+i%5)*time.Millisecond, version.Name == newVersion && i%100 < failurePercent)
			}
		}
	}
}

func newVersionShare(node *fleet.Node) float64 {
	for _, version := range node.Published.Load().Routes[0].Service.Versions {
		if version.Name == newVersion {
			return version.Share
		}
	}
	return 0
}

func recordOutcomesUntil(f *fleet.Fleet, limit time.Duration, failurePercent int, condition func() bool) bool {
	return fleet.WaitUntil(limit, func() bool {
		recordOutcomes(f, failurePercent)
		time.Sleep(200 * time.Millisecond)
		return condition()
	})
}

// Guards against a good version that does not get all traffic by its set time.
func TestGoodVersionCompletesInTime(t *testing.T) {
	withFleet(t, 5, func(g *WithT, f *fleet.Fleet) {
		code, _ := f.Nodes[0].Apply(rollout(time.Now().Add(90 * time.Second)))
		g.Expect(code).To(Equal(200))
		done := recordOutcomesUntil(f, 90*time.Second, 0, func() bool { return newVersionShare(f.Nodes[2]) == 1 })
		g.Expect(done).To(BeTrue(), "share is %v", newVersionShare(f.Nodes[2]))
	})
}

// Guards against a bad version that keeps receiving traffic (P4): it shows when
// it already has a share, the platform is down, and a node that missed the verdict
// joins later.
func TestBadVersionIsBlockedWithoutThePlatform(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.PlatformDown, faultmatrix.MoveJudge, faultmatrix.MoveRollBack)
	faultmatrix.Proves(t, faultmatrix.TargetFailing, faultmatrix.MoveJudge, faultmatrix.MoveRollBack)
	withFleet(t, 5, func(g *WithT, f *fleet.Fleet) {
		code, _ := f.Nodes[0].Apply(rollout(time.Now().Add(4 * time.Minute)))
		g.Expect(code).To(Equal(200))
		g.Expect(recordOutcomesUntil(f, 4*time.Minute, 0, func() bool { return newVersionShare(f.Nodes[1]) >= 0.05 })).To(BeTrue())
		f.Platform.SetFaults(metastore.Faults{Down: true})
		isBlocked := func() bool {
			for _, node := range f.Nodes {
				if newVersionShare(node) > 0 {
					return false
				}
			}
			return true
		}
		g.Expect(recordOutcomesUntil(f, 20*time.Second, 60, isBlocked)).To(BeTrue())
		lateNode := f.StartNode()
		g.Expect(fleet.WaitUntil(startLimit, func() bool { return lateNode.Backend.Readiness().Ready })).To(BeTrue())
		g.Expect(newVersionShare(lateNode)).To(BeZero())
		f.Platform.SetFaults(metastore.Faults{})
		for range 100 {
			recordOutcomes(f, 0)
			time.Sleep(500 * time.Millisecond)
			g.Expect(isBlocked()).To(BeTrue(), "the share was raised again")
		}
		code, _ = f.Nodes[0].Apply(rollout(time.Now().Add(5 * time.Minute)))
		g.Expect(code).To(Equal(200))
		again := recordOutcomesUntil(f, time.Minute, 0, func() bool { return newVersionShare(f.Nodes[1]) > 0 })
		g.Expect(again).To(BeTrue(), "a new declaration starts over")
	})
}

// Guards against new work for a leaving target (P8) at nodes that did not see it
// leave themselves.
func TestLeavingTargetReceivesNoNewWork(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.TargetDraining, faultmatrix.RequestChoose)
	faultmatrix.Proves(t, faultmatrix.VMListStale, faultmatrix.RequestChoose)
	withFleet(t, 7, func(g *WithT, f *fleet.Fleet) {
		leaving := activeTargets(f.Nodes[0])[0]
		isLeavingTarget := func(target *snapshot.Target) bool { return target.Address == leaving.Address }
		leaving.Counters.Leaving.Store(true)
		g.Expect(fleet.WaitUntil(drainLimit, func() bool { return !hasActiveTarget(f, isLeavingTarget) })).To(BeTrue())
		f.PublishVMs(append(fleet.Targets(service, "v1", 0, 12), fleet.Targets(service, newVersion, 100, 6)...))
		time.Sleep(drainLimit)
		g.Expect(hasActiveTarget(f, isLeavingTarget)).To(BeFalse(), "an old list brought the target back")
	})
}

// Guards against a version that was taken back and receives calls again (P4)
// because its rollout was deleted.
func TestRolloutOfLiveBadVersionCannotBeDeleted(t *testing.T) {
	withFleet(t, 3, func(g *WithT, f *fleet.Fleet) {
		request := rollout(time.Now().Add(time.Minute))
		code, _ := f.Nodes[0].Apply(request)
		g.Expect(code).To(Equal(200))
		time.Sleep(drainLimit)
		remove := operator.ApplyRequest{Delete: []string{api.KindRollout + "/labels-v2"}}
		code, _ = f.Nodes[0].Apply(remove)
		g.Expect(code).To(Equal(422))
		retired := fleet.Targets(service, newVersion, 100, 6)
		for i := range retired {
			retired[i].State = api.VMStateLeaving
		}
		f.PublishVMs(append(fleet.Targets(service, "v1", 0, 12), retired...))
		time.Sleep(drainLimit)
		code, _ = f.Nodes[0].Apply(remove)
		g.Expect(code).To(Equal(200))
	})
}

// Guards against a change after which no node is ready.
func TestDataCentresOfAllNodesCannotBeTakenOut(t *testing.T) {
	withFleet(t, 1, func(g *WithT, f *fleet.Fleet) {
		code, _ := f.Nodes[0].Apply(setDataCentreState(f.Nodes[0].DataCentre, api.DataCentreStateOut))
		g.Expect(code).To(Equal(422))
	})
}
