// Package balance chooses the target of a request from load reports that are
// always stale.
package balance

import (
	"math/rand/v2"
	"time"
)

// Candidate is a target as this node sees it. ReportAge is negative without a report.
type Candidate struct {
	Units, InFlight, Reported, SentSince int
	ReportAge                            time.Duration
	LatencyMicros                        int64
	Local                                bool
}

// Evidence records why a target was chosen.
type Evidence struct{ Free int }

// Choose returns the index of a random candidate with free units.
func Choose(candidates []Candidate, _ int, random *rand.Rand) (index int, evidence Evidence, ok bool) {
	index = -1
	for i := range candidates {
		if candidates[i].InFlight >= candidates[i].Units {
			continue
		}
		evidence.Free++
		if random.IntN(evidence.Free) == 0 {
			index = i
		}
	}
	return index, evidence, index >= 0
}
