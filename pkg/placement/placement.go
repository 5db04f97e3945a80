// Package placement selects a target from the results of load probes made just before.
// Load changes within milliseconds, so an older report says little. The least loaded of a few
// random targets is nearly as good as the least loaded of all, and the nodes do not all select
// the same one.
package placement

import (
	"math"
	"math/rand/v2"
)

const (
	// busyThreshold is the share of used slots above which a target slows down.
	busyThreshold = 0.8
	// failurePenalty is the relative cost added at a failure rate of 1, so that targets that
	// fail fast do not look fast.
	failurePenalty = 12.0
	// remotePenalty is the factor by which a target in the same data centre may be slower
	// than one in another and still be preferred.
	remotePenalty = 1.3
	// localProbeShare is the share of the probes that goes to targets in the same data
	// centre, provided that there are enough.
	localProbeShare = 0.6
)

// Candidate is a target with the load that it has just reported.
type Candidate struct {
	// Running and Waiting count the requests at the target, Slots those it runs at a time.
	Running, Waiting, Slots int
	// Slowdown is the current latency relative to an ordinary idle target, which has 1.
	Slowdown float64
	Cold     bool
	// Local targets are in the data centre of the node.
	Local bool
	// FailureRate is the share of this node's recent requests that failed there.
	FailureRate float64
}

func (c Candidate) slots() int { return max(1, c.Slots) }

// nearlyFull reports whether one more request uses so many slots that all requests at the
// target become slower.
func (c Candidate) nearlyFull() bool {
	ahead := c.Running + c.Waiting
	return ahead > 0 && float64(ahead+1) > busyThreshold*float64(c.slots())
}

// queued returns how many requests wait for a slot once one more is sent.
func (c Candidate) queued() int {
	return max(0, c.Running+c.Waiting+1-c.slots())
}

// HasCapacity reports whether one more request at the candidate stays within the limit of
// requests that run or wait there.
func HasCapacity(c Candidate, limit int) bool {
	return c.Running+c.Waiting+1 <= limit
}

// queuePerSlot is how many requests per slot may wait at a target. It absorbs short peaks. In a
// longer queue, requests would miss their objective although another target could serve them, or
// although they could be rejected while their caller can still retry.
const queuePerSlot = 0.5

// InFlightLimit returns how many requests may run or wait at a target with this number of
// slots. reserve slots stay free for more urgent routes, so that less urgent routes are rejected
// first and never use the reserved capacity.
func InFlightLimit(slots, reserve int) int {
	return max(1, slots+int(queuePerSlot*float64(slots))-reserve)
}

// LocalProbes returns how many of count probes go to targets in the same data centre. Traffic
// between data centres is expensive, and the load does not differ between them as long as each
// has targets with free capacity.
func LocalProbes(count int) int {
	return int(math.Ceil(localProbeShare * float64(count)))
}

// Sample moves up to count random elements to the front of all and returns them.
func Sample[T any](random *rand.Rand, all []T, count int) []T {
	count = min(count, len(all))
	for i := range count {
		j := i + random.IntN(len(all)-i)
		all[i], all[j] = all[j], all[i]
	}
	return all[:count]
}

// SampleIndices returns up to count different random numbers below n, in random order.
func SampleIndices(random *rand.Rand, n, count int) []int {
	count = min(count, n)
	moved := make(map[int]int, count)
	at := func(i int) int {
		if value, ok := moved[i]; ok {
			return value
		}
		return i
	}
	sampled := make([]int, count)
	for i := range count {
		j := i + random.IntN(n-i)
		sampled[i] = at(j)
		moved[j] = at(i)
	}
	return sampled
}
