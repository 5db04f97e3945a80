package topology

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/catalog"
)

var start = time.Unix(1000, 0)

func configuration() *catalog.Configuration {
	return &catalog.Configuration{
		Services: map[string]catalog.Service{"a": {Name: "a", MaxConnections: 260}, "b": {Name: "b"}},
		Routes: []catalog.Route{
			{Name: "wide", Host: "h", Prefix: "/x/", Parts: []catalog.Part{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}},
			{Name: "long", Host: "h", Prefix: "/x/y/", Parts: []catalog.Part{{Service: "b", Weight: 1}}},
		},
	}
}

func target(id, version string) catalog.Target {
	return catalog.Target{ID: id, Address: "10.0.0.1:" + id, Service: "a", Version: version, DataCentre: "dc1", Slots: 6}
}

func fleetOf(count int) []catalog.Node {
	var nodes []catalog.Node
	for i := range count {
		nodes = append(nodes, catalog.Node{Name: strconv.Itoa(i), DataCentre: "dc" + strconv.Itoa(1+i%3)})
	}
	return nodes
}

func build(b *Builder, now time.Time, change func(in *Input)) *Topology {
	in := Input{Now: now, Configuration: configuration(), Nodes: fleetOf(10), Evacuated: map[string]bool{}}
	change(&in)
	return b.Build(in)
}

func ids(pool Pool) []string {
	names := []string{}
	for _, t := range pool.All() {
		names = append(names, t.ID)
	}
	return names
}

// Guards against a request taking the route of a shorter prefix or another host.
func TestLongestPrefixOfTheHostWins(t *testing.T) {
	g := NewWithT(t)
	top := build(NewBuilder("n1", "dc1", nil), start, func(*Input) {})
	g.Expect(top.Match("h", "/x/y/z").Name).To(Equal("long"))
	g.Expect(top.Match("h", "/x/yy").Name).To(Equal("wide"))
	g.Expect(top.Match("other", "/x/y/")).To(BeNil())
	g.Expect(top.Match("h", "/x")).To(BeNil())
}

// Guards against parts of a split that get another share than their weight.
func TestSplitFollowsTheWeights(t *testing.T) {
	g := NewWithT(t)
	route := build(NewBuilder("n1", "dc1", nil), start, func(*Input) {}).Match("h", "/x/1")
	random := rand.New(rand.NewPCG(1, 2))
	counts := map[string]int{}
	for range 10_000 {
		counts[route.ChooseService(random).Name]++
	}
	g.Expect(counts["b"]).To(BeNumerically("~", 1000, 150))
}

// Guards against work for targets that leave, that are in a data centre which was
// taken out, or whose address belongs to a newer target.
func TestUnusableTargetsAreExcluded(t *testing.T) {
	g := NewWithT(t)
	leaving, evacuated, replaced, newer := target("1", "v1"), target("2", "v1"), target("3", "v1"), target("4", "v1")
	leaving.Leaving = true
	evacuated.DataCentre = "dc2"
	newer.Address, newer.Incarnation = replaced.Address, 9
	top := build(NewBuilder("n1", "dc1", nil), start, func(in *Input) {
		in.Targets = []catalog.Target{leaving, evacuated, replaced, newer, target("5", "v1")}
		in.Evacuated["dc2"] = true
	})
	g.Expect(ids(top.Services["a"].Main)).To(Equal([]string{"4", "5"}))
	g.Expect(top.Services["a"].Main.All()[0].Connections).To(Equal(26))
}

// Guards against a start under an old id keeping what was seen of the earlier one.
func TestObservationsBelongToOneIncarnation(t *testing.T) {
	g := NewWithT(t)
	b := NewBuilder("n1", "dc1", nil)
	entry := target("1", "v1")
	first := build(b, start, func(in *Input) { in.Targets = []catalog.Target{entry} }).Services["a"].Main.All()[0]
	again := build(b, start, func(in *Input) { in.Targets = []catalog.Target{entry} }).Services["a"].Main.All()[0]
	g.Expect(again.Observed).To(BeIdenticalTo(first.Observed))
	entry.Incarnation = 2
	restarted := build(b, start, func(in *Input) { in.Targets = []catalog.Target{entry} }).Services["a"].Main.All()[0]
	g.Expect(restarted.Observed).NotTo(BeIdenticalTo(first.Observed))
}

// Guards against a target that said that it leaves being used again because its entry ran
// out and came back with the store.
func TestObservationsOutlastAnEntry(t *testing.T) {
	g := NewWithT(t)
	b := NewBuilder("n1", "dc1", nil)
	listed := func(at time.Time, targets ...catalog.Target) []*Target {
		return build(b, at, func(in *Input) { in.Targets = targets }).Services["a"].Main.All()
	}
	entry := target("1", "v1")
	listed(start, entry)[0].Observed.MarkLeaving()
	listed(start.Add(time.Second))
	back := listed(start.Add(20*time.Second), entry)[0]
	g.Expect(back.Observed.View(start).Leaving).To(BeTrue())
	listed(start.Add(20*time.Second + 2*observationRetention))
	g.Expect(b.observed).To(BeEmpty(), "targets that are gone are forgotten")
}

// Guards against requests to a version before, during and after its rollout that
// its state does not allow.
func TestVersionsFollowTheRollout(t *testing.T) {
	const order = 77
	for name, c := range map[string]struct {
		state        catalog.RolloutState
		step         *catalog.Step
		main, canary []string
	}{
		"ordered, no step yet": {catalog.RolloutNew, nil, []string{"1"}, nil},
		"under trial":          {catalog.RolloutInProgress, &catalog.Step{Version: "v2", Base: "v1", Order: order, Share: 0.05}, []string{"1"}, []string{"2"}},
		"step of another":      {catalog.RolloutInProgress, &catalog.Step{Version: "v2", Base: "v1", Order: 1, Share: 1}, []string{"1"}, nil},
		"found to be bad":      {catalog.RolloutInProgress, &catalog.Step{Version: "v2", Base: "v1", Order: order, Failed: true}, []string{"1"}, nil},
		"rolled back":          {catalog.RolloutRolledBack, &catalog.Step{Version: "v2", Base: "v1", Order: order, Share: 0.05}, []string{"1"}, nil},
		"complete":             {catalog.RolloutComplete, &catalog.Step{Version: "v2", Base: "v1", Order: order, Share: 1}, []string{"2"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			top := build(NewBuilder("n1", "dc1", nil), start, func(in *Input) {
				in.Targets = []catalog.Target{target("1", "v1"), target("2", "v2")}
				in.Orders = map[string]Order{"a": {Rollout: catalog.Rollout{Service: "a", Version: "v2", State: c.state}, ID: order}}
				in.Steps = map[string]catalog.Step{}
				if c.step != nil {
					in.Steps["a"] = *c.step
				}
			})
			service := top.Services["a"]
			g.Expect(ids(service.Main)).To(Equal(c.main))
			g.Expect(ids(service.Canary)).To(ConsistOf(c.canary))
		})
	}
}

// Guards against targets of a version that an earlier order left behind receiving
// the requests of the version in use.
func TestLeftoverVersionGetsNothing(t *testing.T) {
	g := NewWithT(t)
	top := build(NewBuilder("n1", "dc1", nil), start, func(in *Input) {
		in.Targets = []catalog.Target{target("1", "v1"), target("2", "v2"), target("3", "v3")}
		in.Orders = map[string]Order{"a": {Rollout: catalog.Rollout{Service: "a", Version: "v3"}, ID: 5}}
		in.Steps = map[string]catalog.Step{"a": {Version: "v3", Base: "v1", Order: 5, Share: 0.1}}
	})
	g.Expect(ids(top.Services["a"].Main)).To(Equal([]string{"1"}))
}

// Guards against targets of a new version being used in the moment before the order
// about them arrives, and against them being left out for good without one.
func TestNewVersionWaitsForItsOrder(t *testing.T) {
	g := NewWithT(t)
	b := NewBuilder("n1", "dc1", nil)
	old := []catalog.Target{target("1", "v1")}
	both := append(old, target("2", "v2"))
	build(b, start, func(in *Input) { in.Targets = old })
	g.Expect(ids(build(b, start.Add(time.Second), func(in *Input) { in.Targets = both }).Services["a"].Main)).To(Equal([]string{"1"}))
	later := start.Add(time.Second + newVersionGracePeriod)
	g.Expect(ids(build(b, later, func(in *Input) { in.Targets = both }).Services["a"].Main)).To(Equal([]string{"1", "2"}))
}

// Guards against targets that are in the subsets of no node or of many more than others,
// and against a subset that changes wholly when one target goes.
func TestSubsetsCoverAllTargetsAndAreStable(t *testing.T) {
	for name, c := range map[string]struct{ nodes, targets int }{
		"more targets": {107, 160}, "more nodes": {114, 15}, "large": {472, 440}, "few of both": {6, 5}, "one node": {1, 9},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			fleet := fleetOf(c.nodes)
			var all []catalog.Target
			for i := range c.targets {
				entry := target(strconv.Itoa(1000+i), "v1")
				entry.DataCentre = "dc" + strconv.Itoa(1+i%3)
				all = append(all, entry)
			}
			subset := func(node catalog.Node, entries []catalog.Target) map[string]bool {
				chosen := map[string]bool{}
				top := build(NewBuilder(node.Name, node.DataCentre, nil), start, func(in *Input) { in.Targets, in.Nodes = entries, fleet })
				for _, known := range top.Services["a"].Main.Subset {
					g.Expect(chosen[known.ID]).To(BeFalse())
					chosen[known.ID] = true
				}
				return chosen
			}
			covered := map[string]int{}
			total := 0
			for _, node := range fleet {
				chosen := subset(node, all)
				g.Expect(len(chosen)).To(BeNumerically(">=", min(minSubsetSize, c.targets)))
				total += len(chosen)
				for id := range chosen {
					covered[id]++
				}
			}
			g.Expect(covered).To(HaveLen(c.targets))
			mean := float64(total) / float64(c.targets)
			for _, count := range covered {
				g.Expect(float64(count)).To(BeNumerically("<=", 2*mean+1))
			}
			before, after := subset(fleet[0], all), subset(fleet[0], all[1:])
			lost := 0
			for id := range before {
				if !after[id] {
					lost++
				}
			}
			g.Expect(lost).To(BeNumerically("<=", 1+len(before)/4))
		})
	}
}
