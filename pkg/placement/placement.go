// Package placement chooses a target on answers to load questions that were asked
// just before. It answers load that shifts within milliseconds: an older report
// says little, and the least loaded of a few random targets is nearly as good as
// the least loaded of all without all nodes choosing the same one.
package placement

import (
	"math"
	"math/rand/v2"
)

const (
	// busyThreshold is the share of used slots above which targets slow down.
	busyThreshold = 0.8
	// failurePenalty is how many times longer a request takes that fails every time,
	// so that targets which fail fast do not look fast.
	failurePenalty = 12.0
	// remotePenalty is how much slower a target in the same data centre may be than one
	// in another and still be preferred.
	remotePenalty = 1.3
	// localProbeShare is the part of the questions that goes to targets in the same data
	// centre, where there are enough.
	localProbeShare = 0.6
)

// Candidate is a target with the load that it has just told.
type Candidate struct {
	// Running, Waiting and Slots are the requests at the target.
	Running, Waiting, Slots int
	// Slowdown is how long work takes there now, 1 as usual.
	Slowdown float64
	Cold     bool
	// Local targets are in the data centre of the node.
	Local bool
	// FailureRate is the part of this node's late requests that failed there.
	FailureRate float64
}

func (c Candidate) slots() int { return max(1, c.Slots) }

// nearlyFull tells whether one more request uses so many slots that all become slower.
func (c Candidate) nearlyFull() bool {
	ahead := c.Running + c.Waiting
	return ahead > 0 && float64(ahead+1) > busyThreshold*float64(c.slots())
}

// queued is how many requests wait for a slot once one more is sent.
func (c Candidate) queued() int {
	return max(0, c.Running+c.Waiting+1-c.slots())
}

// HasCapacity tells whether a candidate takes one more request within a limit of
// requests that run or wait there.
func HasCapacity(c Candidate, limit int) bool {
	return c.Running+c.Waiting+1 <= limit
}

// queuePerSlot is how many requests per slot may wait at a target. It covers short
// peaks; more would only make late what could be answered elsewhere, or refused while
// its caller can still come back.
const queuePerSlot = 0.5

// InFlightLimit returns how many requests may run or wait at a target with a number of slots.
// reserve slots are left free for more urgent routes, so that less urgent ones are
// refused first and never take their room.
func InFlightLimit(slots, reserve int) int {
	return max(1, slots+int(queuePerSlot*float64(slots))-reserve)
}

// LocalProbes returns how many of count questions go to targets in the same data
// centre. Bytes between data centres cost, and the load does not differ between them as
// long as each has targets with room.
func LocalProbes(count int) int {
	return int(math.Ceil(localProbeShare * float64(count)))
}

// Sample moves up to count random elements to the front and returns them.
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
