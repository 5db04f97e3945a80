// Package follow decides which nodes watch the platform's store and which take the
// changes from those. The store's rates grow more slowly than the fleet, so only a
// few nodes watch; the others keep to two of them, in different data centres where
// there are several, so that the loss of one delays nothing. All nodes rank all
// nodes in the same way, hence nothing has to be agreed.
package follow

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflychute/fireflychute/pkg/catalog"
)

// Watchers is how many nodes watch the store while all is well.
const Watchers = 2

// Bounds of the pause before a lost node is tried again, and the pause for one that
// answers but has lost the store: asking it costs the store nothing.
const (
	firstPause = time.Second
	maxPause   = 8 * time.Second
	stalePause = 700 * time.Millisecond
)

// State is what a node knows of another one as a source of changes. The zero value
// is a node that is taken to work.
type State struct {
	lost    bool
	misses  int
	retryAt time.Time
}

// Lost returns the state after a fetch failed. A lost node counts as a source again
// only after a fetch that works, so that its place among the watchers is filled
// meanwhile.
func (s State) Lost(now time.Time) State {
	pause := min(firstPause<<min(s.misses, 6), maxPause)
	return State{lost: true, misses: s.misses + 1, retryAt: now.Add(pause)}
}

// Stale returns the state after a fetch showed that the node has no recent contact
// with the store.
func (s State) Stale(now time.Time) State {
	return State{lost: true, retryAt: now.Add(stalePause)}
}

// IsLost tells whether the node is no source at present.
func (s State) IsLost() bool { return s.lost }

// Plan is where a node takes changes from.
type Plan struct {
	// Watch tells whether the node watches the store.
	Watch bool
	// Ranked tells that the node is among the first that work, so it asks for all.
	Ranked bool
	// Lead tells whether the node leads the rollouts.
	Lead bool
	// Upstreams are the nodes to follow, lost ones that are tried again included.
	Upstreams []catalog.Node
}

// Rank orders nodes by preference as watchers: weak ones last, otherwise by a hash
// of the name, in turns of data centres.
func Rank(nodes []catalog.Node) []catalog.Node {
	sorted := slices.Clone(nodes)
	sort.Slice(sorted, func(a, b int) bool {
		if sorted[a].Weak != sorted[b].Weak {
			return sorted[b].Weak
		}
		first, second := xxhash.Sum64String(sorted[a].Name), xxhash.Sum64String(sorted[b].Name)
		if first != second {
			return first < second
		}
		return sorted[a].Name < sorted[b].Name
	})
	turn := map[string]int{}
	turns := make(map[string]int, len(sorted))
	for _, node := range sorted {
		turns[node.Name] = turn[node.DataCentre]
		turn[node.DataCentre]++
	}
	sort.SliceStable(sorted, func(a, b int) bool {
		if sorted[a].Weak != sorted[b].Weak {
			return sorted[b].Weak
		}
		return turns[sorted[a].Name] < turns[sorted[b].Name]
	})
	return sorted
}

// Decide returns the plan of a node. ranked comes from Rank, states is what it
// knows of the others by name. storeLost tells that the node's own calls to the
// store fail, alone that none of its sources can serve it: they have not heard from
// the store lately, or have not told it all.
func Decide(now time.Time, self string, ranked []catalog.Node, states map[string]State, storeLost, alone bool) Plan {
	plan := Plan{Watch: alone}
	usable := 0
	for _, node := range ranked {
		if usable == Watchers {
			break
		}
		if node.Name == self {
			plan.Watch, plan.Ranked = true, true
			if !storeLost {
				plan.Lead = usable == 0
				usable++
			}
			continue
		}
		state := states[node.Name]
		if state.lost && now.Before(state.retryAt) {
			continue
		}
		plan.Upstreams = append(plan.Upstreams, node)
		if !state.lost {
			usable++
		}
	}
	plan.Watch = plan.Watch || usable == 0 && len(ranked) > 0
	return plan
}
