package canary

// Limits on a version's failures at one node, at which the node stops sending to it without
// waiting for the leader.
const (
	minLocalFailures    = 3
	minLocalFailureRate = 0.3
	maxLocalOldRate     = 0.1
)

// maxFleetFailures is how many failures summed over all nodes are enough to find a version bad
// at once; with a single node, minLocalFailures are enough. Nodes that blocked the version on
// their local counts send it no more requests, so the sequential test gets no further evidence.
const maxFleetFailures = 2 * minLocalFailures

// IsBadFleetwide reports whether the summed counts of all nodes show that a version is bad,
// without waiting for the sequential test.
func IsBadFleetwide(oldCounts, canary Counts, nodes int) bool {
	threshold := min(maxFleetFailures, minLocalFailures*max(1, nodes))
	return canary.Failures >= uint64(threshold) && IsBadLocally(oldCounts, canary)
}

// IsBadLocally reports whether a node's own counts are enough to stop sending to the new
// version. It needs neither the leader nor the store.
func IsBadLocally(oldCounts, canary Counts) bool {
	if canary.Failures < minLocalFailures {
		return false
	}
	rate := float64(canary.Failures) / float64(canary.Requests)
	oldRate := float64(oldCounts.Failures) / float64(max(1, oldCounts.Requests))
	return rate >= minLocalFailureRate && oldRate < maxLocalOldRate
}
