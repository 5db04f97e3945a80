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

// State is what a node knows of another one as a source of changes.
type State struct {
	// AvoidUntil is until when it is not used: it did not answer or has lost the store.
	AvoidUntil time.Time
}

// Plan is where a node takes changes from.
type Plan struct {
	// Watch tells whether the node watches the store.
	Watch bool
	// Lead tells whether the node leads the rollouts.
	Lead bool
	// Upstreams are the nodes to follow.
	Upstreams []catalog.Node
}

// Rank orders nodes by preference as watchers: by a hash of the name, in turns of
// data centres.
func Rank(nodes []catalog.Node) []catalog.Node {
	sorted := slices.Clone(nodes)
	sort.Slice(sorted, func(a, b int) bool {
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
	sort.SliceStable(sorted, func(a, b int) bool { return turns[sorted[a].Name] < turns[sorted[b].Name] })
	return sorted
}

// Decide returns the plan of a node. ranked comes from Rank, states is what it
// knows of the others by name. storeLost tells that the node's own calls to the
// store fail, stale that none of its sources has heard from the store lately.
func Decide(now time.Time, self string, ranked []catalog.Node, states map[string]State, storeLost, stale bool) Plan {
	plan := Plan{Watch: stale}
	usable := 0
	listed := false
	for _, node := range ranked {
		if usable == Watchers {
			break
		}
		if node.Name == self {
			listed = true
			plan.Watch = true
			if !storeLost {
				plan.Lead = usable == 0
				usable++
			}
			continue
		}
		if now.Before(states[node.Name].AvoidUntil) {
			continue
		}
		plan.Upstreams = append(plan.Upstreams, node)
		usable++
	}
	if usable == 0 && !listed {
		plan.Watch = true
	}
	return plan
}
