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

// Guards against new work for a data centre more than a few seconds after its state was
// set to Out (P3), and against full load on its cold targets when it returns (P2).
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
		g.Expect(unitsPerTarget(f, inSouth)).To(HaveEach(BeNumerically("<=", 1)), "targets of a returned data centre must start cold")
	})
}

// Guards against accepting a change that takes all data centres of a service out.
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

// Guards against units of all nodes that add up to more than a target's limit while
// nodes start, are killed and are partitioned from each other.
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

// warmUp records enough served requests for every target to end the ramps.
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

// unitsPerTarget returns the sum of all nodes' units for each matching target.
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

// recordOutcomes records request outcomes of both versions on each node, in proportion to
// their current shares. failurePercent of the new version's requests fail.
func recordOutcomes(f *fleet.Fleet, failurePercent int) {
	for _, node := range f.Nodes {
		route := node.Published.Load().Routes[0]
		for _, version := range route.Service.Versions {
			recorder := route.Recorders[version.Name]
			if recorder == nil {
				continue // the node has not applied the rollout yet
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

// Guards against a good version that does not receive all traffic by completeBy.
func TestGoodVersionCompletesInTime(t *testing.T) {
	withFleet(t, 5, func(g *WithT, f *fleet.Fleet) {
		code, _ := f.Nodes[0].Apply(rollout(time.Now().Add(90 * time.Second)))
		g.Expect(code).To(Equal(200))
		done := recordOutcomesUntil(f, 90*time.Second, 0, func() bool { return newVersionShare(f.Nodes[2]) == 1 })
		g.Expect(done).To(BeTrue(), "share is %v", newVersionShare(f.Nodes[2]))
	})
}

// Guards against a bad version that keeps receiving traffic (P4) when it starts to fail
// during a platform outage, after it was given a share: on the running nodes, and on a node
// that joins after the verdict.
func TestBadVersionIsBlockedWithoutThePlatform(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.PlatformDown, faultmatrix.TransitionJudge, faultmatrix.TransitionRollBack)
	faultmatrix.Proves(t, faultmatrix.TargetFailing, faultmatrix.TransitionJudge, faultmatrix.TransitionRollBack)
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
			g.Expect(isBlocked()).To(BeTrue(), "the blocked version received a share again")
		}
		code, _ = f.Nodes[0].Apply(rollout(time.Now().Add(5 * time.Minute)))
		g.Expect(code).To(Equal(200))
		again := recordOutcomesUntil(f, time.Minute, 0, func() bool { return newVersionShare(f.Nodes[1]) > 0 })
		g.Expect(again).To(BeTrue(), "a new generation of the rollout must start again")
	})
}

// Guards against new work for a leaving target (P8) from nodes that did not detect
// its drain themselves.
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
		g.Expect(hasActiveTarget(f, isLeavingTarget)).To(BeFalse(), "a stale VM list made the target active again")
	})
}

// Guards against a rolled-back version that receives requests again (P4) because its
// rollout was deleted while its targets still run.
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

// Guards against accepting a change that leaves no node ready.
func TestDataCentresOfAllNodesCannotBeTakenOut(t *testing.T) {
	withFleet(t, 1, func(g *WithT, f *fleet.Fleet) {
		code, _ := f.Nodes[0].Apply(setDataCentreState(f.Nodes[0].DataCentre, api.DataCentreStateOut))
		g.Expect(code).To(Equal(422))
	})
}
