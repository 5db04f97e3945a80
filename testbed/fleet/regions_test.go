package fleet_test

import (
	"fmt"
	"slices"
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

// Guards against a region that never catches up, or reverts, after it was partitioned for
// 3 minutes from the region that reaches the platform. The partition begins at different
// times after a change, and heals while only the other region reaches the platform.
func TestPartitionedRegionsRecover(t *testing.T) {
	const partitionDuration = 3 * time.Minute
	for _, after := range []time.Duration{0, 5, 10, 20, 40, 80, 160, 320, 640, 1280} {
		t.Run(fmt.Sprintf("partitioned %d ms after the change", after), func(t *testing.T) {
			t.Parallel()
			faultmatrix.Proves(t, faultmatrix.RegionsParted, faultmatrix.ConfigAnnounce, faultmatrix.ConfigFetch, faultmatrix.ConfigApply)
			withFleet(t, 6, func(g *WithT, f *fleet.Fleet) {
				time.Sleep(20 * time.Second)
				warmUp(f)
				isIsolated := func(node *fleet.Node) bool { return node.DataCentre == "south" }
				scenario := &faultScenario{f: f, g: g, lastRevisions: map[*fleet.Node]uint64{}}
				checkUnits := func() {
					g.Expect(unitsPerTarget(f, everyTarget)).To(HaveEach(BeNumerically("<=", 12)), "units exceed the limit of a target")
				}
				checkFor := func(d time.Duration) {
					for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
						scenario.checkRevisions()
						checkUnits()
					}
				}
				code, first := f.Nodes[0].Apply(workKind(700))
				g.Expect(code).To(Equal(200))
				time.Sleep(after * time.Millisecond)
				scenario.partition(isIsolated)
				for _, node := range f.Nodes {
					node.PlatformUnreachable.Store(isIsolated(node))
				}
				checkFor(partitionDuration / 2)
				code, second := f.Nodes[1].Apply(setDataCentreState("middle", api.DataCentreStateOut))
				g.Expect(code).To(Equal(200))
				g.Expect(second.Revision).To(BeNumerically(">", first.Revision))
				checkFor(partitionDuration / 2)
				scenario.heal()
				inForce := func() bool { scenario.checkRevisions(); checkUnits(); return allHaveRevision(f, second.Revision) }
				g.Expect(fleet.WaitUntil(applyLimit, inForce)).To(BeTrue(), "the region without the platform did not catch up")
				inMiddle := func(target *snapshot.Target) bool { return target.DataCentre == "middle" }
				g.Expect(hasActiveTarget(f, inMiddle)).To(BeFalse())
			})
		})
	}
}

func everyTarget(*snapshot.Target) bool { return true }

// Guards against changes that are never applied when the platform accepts only a few calls
// per second. One change takes three writes at once, so a platform that allows fewer
// writes per second rejects every change.
func TestPlatformWithLowRates(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.PlatformRejecting, faultmatrix.ConfigAccept, faultmatrix.ConfigStore, faultmatrix.ConfigAnnounce, faultmatrix.ConfigFetch)
	for _, rate := range []float64{5, 10, 20} {
		withFleet(t, 7, func(g *WithT, f *fleet.Fleet) {
			time.Sleep(20 * time.Second)
			f.Platform.SetRates(rate, rate)
			time.Sleep(time.Minute)
			g.Expect(allReady(f)).To(BeTrue())
			request := workKind(700)
			request.Operation = "at-low-rates"
			var result operator.ApplyResult
			accepted := func() bool {
				code, applyResult := f.Nodes[0].Apply(request)
				result = applyResult
				time.Sleep(2 * time.Second)
				return code == 200
			}
			g.Expect(fleet.WaitUntil(2*time.Minute, accepted)).To(BeTrue(), "rate %v", rate)
			g.Expect(fleet.WaitUntil(applyLimit, func() bool { return allHaveRevision(f, result.Revision) })).To(BeTrue(), "rate %v", rate)
		})
	}
}

// Guards against platform calls that grow with the fleet while the platform rejects them,
// which would keep a platform that rejects by rate from recovering, and against leases
// that no node acquires afterwards.
func TestRejectedCallsDoNotGrowWithTheFleet(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.PlatformRejecting, faultmatrix.LeaseAcquire, faultmatrix.LeaseRenew, faultmatrix.LeaseLose)
	faultmatrix.Proves(t, faultmatrix.PlatformRejecting, faultmatrix.RequestChoose)
	calls := func(nodes int) (count uint64) {
		withFleet(t, nodes, func(g *WithT, f *fleet.Fleet) {
			time.Sleep(20 * time.Second)
			f.Platform.SetFaults(metastore.Faults{RejectByRate: true})
			time.Sleep(faultDuration)
			for _, node := range f.Nodes {
				g.Expect(node.Controller.Watching()).To(BeFalse(), "a node still watches after its lease expired")
			}
			before := f.Platform.Counts()
			time.Sleep(time.Minute)
			after := f.Platform.Counts()
			count = after.Reads + after.Writes - before.Reads - before.Writes
			g.Expect(allReady(f)).To(BeTrue())
			f.Platform.SetFaults(metastore.Faults{})
			time.Sleep(leaseTakeoverLimit)
			code, result := f.Nodes[0].Apply(workKind(700))
			g.Expect(code).To(Equal(200))
			g.Expect(fleet.WaitUntil(watchApplyLimit, func() bool { return allHaveRevision(f, result.Revision) })).To(BeTrue(), "no node watches the platform")
		})
		return count
	}
	small, large := calls(5), calls(19)
	t.Logf("calls during a minute of rejections with 5 and 19 nodes: %d, %d", small, large)
	NewWithT(t).Expect(float64(large)).To(BeNumerically("<", 1.5*float64(small)))
}

// Guards against racing operators whose changes together take all data centres out, because
// each change alone leaves enough capacity according to the configuration that it read.
func TestOperatorsRaceWithDataCentreMoves(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.OperatorsRace, faultmatrix.TransitionPlan, faultmatrix.TransitionCommit, faultmatrix.ConfigAccept)
	for delay := range 4 {
		withFleet(t, 6, func(g *WithT, f *fleet.Fleet) {
			f.Platform.SetFaults(metastore.Faults{DelayMs: delay * 20})
			codes := make(chan int, len(fleet.DataCentres))
			for i, name := range fleet.DataCentres {
				go func() {
					time.Sleep(time.Duration(i*delay) * time.Millisecond)
					code, _ := f.Nodes[i].Apply(setDataCentreState(name, api.DataCentreStateOut))
					codes <- code
				}()
			}
			accepted, rejected := 0, 0
			for range fleet.DataCentres {
				if code := <-codes; code == 200 {
					accepted++
				} else {
					g.Expect(code).To(BeElementOf(409, 422))
					rejected++
				}
			}
			g.Expect(accepted).To(Equal(2), "rejected %d", rejected)
			f.Platform.SetFaults(metastore.Faults{})
			time.Sleep(applyLimit)
			g.Expect(hasActiveTarget(f, everyTarget)).To(BeTrue(), "no data centre is left")

			// Out and In of the same data centre: all nodes apply the change that won.
			base := f.Nodes[0].Revision()
			results := make(chan operator.ApplyResult, 2)
			states := []api.DataCentreState{api.DataCentreStateIn, api.DataCentreStateOut}
			for i, state := range states {
				request := setDataCentreState("south", state)
				request.IfRevision = &base
				go func() {
					code, result := f.Nodes[i].Apply(request)
					if code != 200 {
						result.Revision = 0
					}
					results <- result
				}()
			}
			revisions := []uint64{(<-results).Revision, (<-results).Revision}
			newest := slices.Max(revisions)
			g.Expect(fleet.WaitUntil(applyLimit, func() bool { return allHaveRevision(f, newest) })).To(BeTrue())
			time.Sleep(drainLimit)
			first := usesSouth(f.Nodes[0])
			for _, node := range f.Nodes {
				g.Expect(usesSouth(node)).To(Equal(first), "nodes disagree")
			}
		})
	}
}

func usesSouth(node *fleet.Node) bool {
	return slices.ContainsFunc(activeTargets(node), func(target *snapshot.Target) bool { return target.DataCentre == "south" })
}

// Guards against new work for the targets of a data centre lost with its nodes, the
// controller among them, more than a few seconds after the first refused connections (P8),
// and against remaining nodes that no longer accept changes.
func TestDataCentreLost(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.DataCentreLost, faultmatrix.RequestChoose, faultmatrix.ConfigAccept, faultmatrix.ConfigStore,
		faultmatrix.ConfigAnnounce, faultmatrix.ConfigFetch, faultmatrix.ConfigApply, faultmatrix.LeaseAcquire)
	for _, lost := range fleet.DataCentres {
		withFleet(t, 9, func(g *WithT, f *fleet.Fleet) {
			warmUp(f)
			rest := []*fleet.Node{}
			for _, node := range f.Nodes {
				if node.DataCentre == lost {
					f.Kill(node)
				} else {
					rest = append(rest, node)
				}
			}
			f.Nodes = rest
			isLost := func(target *snapshot.Target) bool { return target.DataCentre == lost }
			noWork := func() bool {
				for _, node := range f.Nodes {
					for _, target := range activeTargets(node) {
						if isLost(target) && target.Units > 0 {
							target.Counters.Refused.Add(1)
						}
					}
				}
				return !hasActiveTarget(f, isLost)
			}
			g.Expect(fleet.WaitUntil(drainLimit, noWork)).To(BeTrue(), "lost targets still receive new work")
			code, result := f.Nodes[0].Apply(workKind(700))
			g.Expect(code).To(Equal(200))
			g.Expect(fleet.WaitUntil(applyLimit+leaseTakeoverLimit, func() bool { return allHaveRevision(f, result.Revision) })).To(BeTrue())
			time.Sleep(leaseTakeoverLimit)
			code, result = f.Nodes[0].Apply(workKind(701))
			g.Expect(code).To(Equal(200))
			g.Expect(fleet.WaitUntil(applyLimit, func() bool { return allHaveRevision(f, result.Revision) })).To(BeTrue())
			g.Expect(controllerNode(f)).NotTo(BeNil(), "the lost controller has no successor")
		})
	}
}

// leaseTakeoverLimit is enough for a lost holder's lease to expire and be acquired by another node.
const leaseTakeoverLimit = 20 * time.Second
