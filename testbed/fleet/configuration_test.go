package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/internal/faultmatrix"
	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/testbed/fleet"
	"github.com/fireflychute/fireflychute/testbed/metastore"
)

// Guards against a change that some node does not apply within the required time when a
// single fault occurs around the change.
func TestConfigurationIsAppliedOnAllNodes(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.ResponseLost, faultmatrix.ConfigStore)
	faultmatrix.Proves(t, faultmatrix.PlatformSlow, faultmatrix.ConfigAccept, faultmatrix.ConfigStore, faultmatrix.ConfigFetch)
	faultmatrix.Proves(t, faultmatrix.NodeCutFromPlatform, faultmatrix.ConfigAnnounce, faultmatrix.ConfigFetch, faultmatrix.ConfigApply)
	faultmatrix.Proves(t, faultmatrix.NodeKilled, faultmatrix.ConfigAnnounce, faultmatrix.ConfigFetch, faultmatrix.ConfigApply)
	faults := map[string]func(f *fleet.Fleet){
		"no fault":                 func(*fleet.Fleet) {},
		"response of a write lost": func(f *fleet.Fleet) { f.Platform.SetFaults(metastore.Faults{DropResponses: 2}) },
		"platform slow":            func(f *fleet.Fleet) { f.Platform.SetFaults(metastore.Faults{DelayMs: 400}) },
		"watchers cut off":         disconnectWatchers,
		"a third of the nodes cut": func(f *fleet.Fleet) { disconnectEveryNth(f, 3) },
		"a node killed":            func(f *fleet.Fleet) { f.Kill(f.Nodes[5]); f.Nodes = append(f.Nodes[:5:5], f.Nodes[6:]...) },
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 19, func(g *WithT, f *fleet.Fleet) {
				time.Sleep(20 * time.Second) // wait until the leases are acquired
				inject(f)
				code, result := f.Nodes[1].Apply(workKind(700))
				g.Expect(code).To(Equal(200))
				g.Expect(fleet.WaitUntil(applyLimit, func() bool { return allHaveRevision(f, result.Revision) })).To(BeTrue())
			})
		})
	}
}

// disconnectWatchers cuts the watching nodes off from the platform, except the node that
// serves the operator.
func disconnectWatchers(f *fleet.Fleet) {
	for i, node := range f.Nodes {
		if i != 1 && node.Controller.Watching() {
			node.PlatformUnreachable.Store(true)
		}
	}
}

func disconnectEveryNth(f *fleet.Fleet, n int) {
	for i, node := range f.Nodes {
		if i%n == 0 {
			node.PlatformUnreachable.Store(true)
		}
	}
}

// Guards against a node that reverts to an older configuration during outages, network
// partitions, restarts and lost responses.
func TestConfigurationNeverReverts(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.RegionsParted, faultmatrix.ConfigFetch, faultmatrix.ConfigApply)
	faultmatrix.Proves(t, faultmatrix.NodeRestarted, faultmatrix.ConfigFetch, faultmatrix.ConfigApply)
	faultmatrix.Proves(t, faultmatrix.PlatformDown, faultmatrix.ConfigFetch)
	withFleet(t, 7, func(g *WithT, f *fleet.Fleet) {
		lastRevisions := make([]uint64, len(f.Nodes))
		check := func() {
			for i, node := range f.Nodes {
				revision := node.Revision()
				g.Expect(revision).To(BeNumerically(">=", lastRevisions[i]), "node %d reverted to an older revision", i)
				lastRevisions[i] = revision
			}
		}
		side := func(address string) int { return int(address[len("127.1.0.")]) % 2 }
		steps := []func(){
			func() { f.Nodes[0].Apply(workKind(600)) },
			func() { f.Partition(side) },
			func() { f.Nodes[1].Apply(workKind(601)) },
			func() { f.Platform.SetFaults(metastore.Faults{DropResponses: 3}) },
			func() { f.Nodes[2].Apply(workKind(602)) },
			func() { f.Heal() },
			func() { f.Platform.SetFaults(metastore.Faults{Down: true}) },
			func() { f.Kill(f.Nodes[3]); lastRevisions[3] = 0; f.Restart(f.Nodes[3]) },
			func() { f.Partition(side) },
			func() { f.Platform.SetFaults(metastore.Faults{}) },
			func() { f.Nodes[4].Apply(workKind(603)) },
			func() { f.Heal() },
		}
		for _, step := range steps {
			step()
			for range 40 {
				check()
				time.Sleep(100 * time.Millisecond)
			}
		}
		code, result := f.Nodes[5].Apply(workKind(604))
		g.Expect(code).To(Equal(200))
		g.Expect(fleet.WaitUntil(applyLimit, func() bool { check(); return allHaveRevision(f, result.Revision) })).To(BeTrue())
	})
}

// Guards against accepting the changes of two operators that race from the same revision.
func TestOneOperatorWinsARace(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.OperatorsRace, faultmatrix.ConfigStore)
	withFleet(t, 3, func(g *WithT, f *fleet.Fleet) {
		base := f.Nodes[0].Revision()
		codes := make(chan int, 2)
		for i, timeout := range []int{610, 620} {
			request := workKind(timeout)
			request.IfRevision = &base
			go func() {
				code, _ := f.Nodes[i].Apply(request)
				codes <- code
			}()
		}
		g.Expect([]int{<-codes, <-codes}).To(ConsistOf(200, 409))
	})
}

// Guards against a node that serves with a stale or no configuration when it starts
// while the platform is down.
func TestNodeStartedInOutageFetchesFromPeers(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.PlatformDown, faultmatrix.ConfigAccept, faultmatrix.ConfigFetch)
	withFleet(t, 5, func(g *WithT, f *fleet.Fleet) {
		f.Platform.SetFaults(metastore.Faults{Down: true})
		revision := f.Nodes[0].Revision()
		node := f.StartNode()
		g.Expect(fleet.WaitUntil(startLimit, func() bool { return node.Backend.Readiness().Ready })).To(BeTrue(), "%v", node.Backend.Readiness())
		g.Expect(node.Revision()).To(Equal(revision))
		code, _ := f.Nodes[0].Apply(workKind(640))
		g.Expect(code).To(Equal(503))
	})
}

// Guards against a node that becomes ready without a configuration because neither the
// platform nor a peer is reachable.
func TestNodeWithoutPlatformAndPeersIsNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := fleet.New()
		f.Platform.SetFaults(metastore.Faults{Down: true})
		f.Start(1)
		defer f.StopAll()
		time.Sleep(time.Minute)
		g.Expect(f.Nodes[0].Backend.Readiness().Ready).To(BeFalse())
	})
}

// Guards against an isolated node that accepts new work with a stale configuration, and
// against a platform outage that makes all nodes unready.
func TestIsolationButNotOutageMakesNodesUnready(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.PlatformDown, faultmatrix.RequestChoose)
	faultmatrix.Proves(t, faultmatrix.NodeCutFromPeers, faultmatrix.RequestChoose)
	withFleet(t, 5, func(g *WithT, f *fleet.Fleet) {
		f.Platform.SetFaults(metastore.Faults{Down: true})
		time.Sleep(time.Minute)
		g.Expect(allReady(f)).To(BeTrue(), "an outage of the platform alone must not make nodes unready")
		isolatedNode := f.Nodes[2]
		f.Partition(func(address string) int {
			if address == isolatedNode.Address {
				return 1
			}
			return 0
		})
		isolated := func() bool { return isolatedNode.Published.Load().Isolated && !isolatedNode.Backend.Readiness().Ready }
		g.Expect(fleet.WaitUntil(2*drainLimit, isolated)).To(BeTrue())
		g.Expect(f.Nodes[0].Backend.Readiness().Ready).To(BeTrue())
		f.Heal()
		g.Expect(fleet.WaitUntil(startLimit, func() bool { return allReady(f) })).To(BeTrue())
	})
}

// Guards against platform calls that grow as fast as the number of nodes.
func TestPlatformCallsGrowSlowerThanTheFleet(t *testing.T) {
	calls := func(nodes int) (total uint64) {
		withFleet(t, nodes, func(_ *WithT, f *fleet.Fleet) {
			time.Sleep(time.Minute)
			before := f.Platform.Counts()
			time.Sleep(time.Minute)
			after := f.Platform.Counts()
			total = after.Reads + after.Writes - before.Reads - before.Writes
		})
		return total
	}
	g := NewWithT(t)
	small, medium, large := calls(4), calls(19), calls(60)
	t.Logf("platform calls per minute with 4, 19 and 60 nodes: %d, %d, %d", small, medium, large)
	g.Expect(float64(medium)).To(BeNumerically("<", float64(small)*19/4/2))
	g.Expect(float64(large)).To(BeNumerically("<", float64(medium)*60/19/2))
}

// Guards against a change that is applied twice, or reported as a conflict with another
// operator's change, when the responses of its writes were lost.
func TestRetryAfterLostResponseIsRecognised(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.ResponseLost, faultmatrix.ConfigStore)
	for lost := 1; lost <= 5; lost++ {
		withFleet(t, 3, func(g *WithT, f *fleet.Fleet) {
			f.Platform.SetFaults(metastore.Faults{DropResponses: lost})
			request := workKind(650)
			request.Operation = "change-1"
			code, _ := f.Nodes[0].Apply(request)
			g.Expect(code).To(BeElementOf(200, 503), "a lost response must not be reported as a conflict")
			f.Platform.SetFaults(metastore.Faults{})
			code, result := f.Nodes[1].Apply(request)
			g.Expect(code).To(Equal(200))
			g.Expect(fleet.WaitUntil(applyLimit, func() bool { return allHaveRevision(f, result.Revision) })).To(BeTrue())
			entry := f.Nodes[2].Backend.Configuration().Manifest.Entries[api.KindWorkKind+"/lookup"]
			g.Expect(entry.Generation).To(Equal(2))
		})
	}
}

// Guards against a fleet status that never reports changes as in force again after a node
// died, although the platform's VM list no longer contains the node.
func TestFleetStatusRecoversAfterNodeDeath(t *testing.T) {
	withFleet(t, 5, func(g *WithT, f *fleet.Fleet) {
		f.Kill(f.Nodes[4])
		f.Nodes = f.Nodes[:4]
		f.PublishVMs(fleet.Targets(service, "v1", 0, 12))
		inForce := func() bool {
			status, ok := f.Nodes[0].Backend.Fleet()
			return ok && len(status.Conditions) > 0 && status.Conditions[0].Status == api.ConditionStatusTrue
		}
		g.Expect(fleet.WaitUntil(2*applyLimit, inForce)).To(BeTrue())
		code, result := f.Nodes[0].Apply(workKind(660))
		g.Expect(code).To(Equal(200))
		g.Expect(fleet.WaitUntil(applyLimit, func() bool { return allHaveRevision(f, result.Revision) && inForce() })).To(BeTrue())
	})
}

// Guards against a committed change that never reaches the nodes because the platform
// rejects all reads right after the commit.
func TestCommittedChangeNeedsNoReads(t *testing.T) {
	withFleet(t, 5, func(g *WithT, f *fleet.Fleet) {
		code, result := f.Nodes[0].Apply(workKind(670))
		f.Platform.SetFaults(metastore.Faults{RejectByRate: true})
		g.Expect(code).To(Equal(200))
		g.Expect(fleet.WaitUntil(applyLimit, func() bool { return allHaveRevision(f, result.Revision) })).To(BeTrue())
	})
}
