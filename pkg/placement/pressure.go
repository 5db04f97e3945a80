package placement

import (
	"sync"
	"time"
)

const (
	// pressureWeight is the weight of the latest request in the refused share.
	pressureWeight = 0.05
	// Bounds of the time after which refused callers are asked to come back: short
	// while refusals are rare and a neighbour's peak is soon over, longer while most
	// requests are refused and callers would only be refused again.
	minReturn = 120 * time.Millisecond
	maxReturn = 600 * time.Millisecond
	// returnSpread is the part of that time over which returns are spread.
	returnSpread = 0.6
)

// Pressure is the share of a service's requests that is refused at present.
type Pressure struct {
	mu      sync.Mutex
	refused float64
}

// Note takes in one request.
func (p *Pressure) Note(refused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refused *= 1 - pressureWeight
	if refused {
		p.refused += pressureWeight
	}
}

// Return tells a refused caller when to come back. draw is a random number from 0 to 1.
func (p *Pressure) Return(draw float64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	longest := minReturn + time.Duration(p.refused*float64(maxReturn-minReturn))
	return longest + time.Duration((draw-0.5)*returnSpread*float64(longest))
}
