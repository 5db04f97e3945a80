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
	initialBackoff     = time.Second
	maxBackoff         = 8 * time.Second
	staleRetryInterval = 700 * time.Millisecond
)

// SourceState is what a node knows of another one as a source of changes. The zero value
// is a node that is taken to work.
type SourceState struct {
	unavailable bool
	failures    int
	retryAt     time.Time
}

// AfterFailure returns the state after a fetch failed. A lost node counts as a source again
// only after a fetch that works, so that its place among the watchers is filled
// meanwhile.
func (s SourceState) AfterFailure(now time.Time) SourceState {
	backoff := min(initialBackoff<<min(s.failures, 6), maxBackoff)
	return SourceState{unavailable: true, failures: s.failures + 1, retryAt: now.Add(backoff)}
}

// AfterStaleReply returns the state after a fetch showed that the node has no recent contact
// with the store.
func (s SourceState) AfterStaleReply(now time.Time) SourceState {
	return SourceState{unavailable: true, retryAt: now.Add(staleRetryInterval)}
}

// IsUnavailable tells whether the node is no source at present.
func (s SourceState) IsUnavailable() bool { return s.unavailable }

// Plan is where a node takes changes from.
type Plan struct {
	// Watch tells whether the node watches the store.
	Watch bool
	// Designated tells that the node is among the first that work, so it asks for all.
	Designated bool
	// Leader tells whether the node leads the rollouts.
	Leader bool
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
	nextRound := map[string]int{}
	rounds := make(map[string]int, len(sorted))
	for _, node := range sorted {
		rounds[node.Name] = nextRound[node.DataCentre]
		nextRound[node.DataCentre]++
	}
	sort.SliceStable(sorted, func(a, b int) bool {
		if sorted[a].Weak != sorted[b].Weak {
			return sorted[b].Weak
		}
		return rounds[sorted[a].Name] < rounds[sorted[b].Name]
	})
	return sorted
}

// Decide returns the plan of a node. ranked comes from Rank, states is what it
// knows of the others by name. storeLost tells that the node's own calls to the
// store fail, alone that none of its sources can serve it: they have not heard from
// the store lately, or have not told it all.
func Decide(now time.Time, self string, ranked []catalog.Node, states map[string]SourceState, storeFailing, noUsableSource bool) Plan {
	plan := Plan{Watch: noUsableSource}
	usable := 0
	for _, node := range ranked {
		if usable == Watchers {
			break
		}
		if node.Name == self {
			plan.Watch, plan.Designated = true, true
			if !storeFailing {
				plan.Leader = usable == 0
				usable++
			}
			continue
		}
		state := states[node.Name]
		if state.unavailable && now.Before(state.retryAt) {
			continue
		}
		plan.Upstreams = append(plan.Upstreams, node)
		if !state.unavailable {
			usable++
		}
	}
	plan.Watch = plan.Watch || usable == 0 && len(ranked) > 0
	return plan
}
