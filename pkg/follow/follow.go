// Package follow decides which nodes watch the platform's store and which receive the changes
// from those watchers. The store's permitted request rates grow more slowly than the fleet, so
// only a few nodes watch. The others follow two of them, in different data centres if there are
// several, so that the loss of one delays nothing. All nodes compute the same ranking, so no
// agreement protocol is needed.
package follow

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflychute/fireflychute/pkg/catalog"
)

// Watchers is how many nodes watch the store in normal operation.
const Watchers = 2

// Limits of the backoff before an unavailable node is retried, and the fixed interval for a
// node that replies but has lost contact with the store: fetching from it costs the store
// nothing.
const (
	initialBackoff     = time.Second
	maxBackoff         = 8 * time.Second
	staleRetryInterval = 700 * time.Millisecond
)

// SourceState is the state of another node as a source of changes. The zero value is a source
// presumed available.
type SourceState struct {
	unavailable bool
	failures    int
	retryAt     time.Time
}

// AfterFailure returns the state after a failed fetch. The node counts as a source again only
// after a successful fetch, so that another watcher replaces it meanwhile.
func (s SourceState) AfterFailure(now time.Time) SourceState {
	backoff := min(initialBackoff<<min(s.failures, 6), maxBackoff)
	return SourceState{unavailable: true, failures: s.failures + 1, retryAt: now.Add(backoff)}
}

// AfterStaleReply returns the state after a reply that reports stale data or a failing probe of
// the store.
func (s SourceState) AfterStaleReply(now time.Time) SourceState {
	return SourceState{unavailable: true, retryAt: now.Add(staleRetryInterval)}
}

// IsUnavailable reports whether the node is currently not usable as a source.
func (s SourceState) IsUnavailable() bool { return s.unavailable }

// Plan holds the role of a node and its sources of changes.
type Plan struct {
	// Watch is true if the node watches the store.
	Watch bool
	// Designated is true if the node ranks among the first usable nodes, so that it watches on
	// behalf of all.
	Designated bool
	// Leader is true if the node is the leader of rollouts.
	Leader bool
	// Upstreams are the nodes to follow, including unavailable ones that are due for a retry.
	Upstreams []catalog.Node
}

// Rank orders nodes by preference as watchers: weak ones last, otherwise by a hash of the
// name, alternating between data centres.
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

// Decide returns the plan of a node. ranked is the result of Rank, states holds the states of
// other nodes by name. storeFailing is true if the node's own calls to the store fail,
// noUsableSource if none of its sources can serve it: they have no recent contact with the
// store or have not sent all kinds.
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
