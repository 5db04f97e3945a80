// Package explain keeps the latest decisions on requests for operators to query.
package explain

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Size is how many decisions are kept.
	Size = 4096
	// sampleOf is the part of the uneventful decisions that is kept: 1 in 16.
	sampleOf = 16
)

// Try is one try of a request.
type Try struct {
	Target     string   `json:"target"`
	Version    string   `json:"version"`
	Candidates []string `json:"candidates"`
	// Evidence is what the choice rests on.
	Evidence any    `json:"evidence,omitempty"`
	Failure  string `json:"failure,omitempty"`
	// LatencyMicros is the time to the answer's header or to the failure.
	LatencyMicros int64 `json:"latencyMicros"`
}

// Decision is what was decided on one request. Tries are in their order, the last
// one was chosen last.
type Decision struct {
	RequestID string    `json:"requestId"`
	Time      time.Time `json:"time"`
	Route     string    `json:"route"`
	Caller    string    `json:"caller"`
	Tries     []Try     `json:"tries"`
	Refused   bool      `json:"refused"`
	Status    int       `json:"status"`
	Outcome   string    `json:"outcome"`
	Reason    string    `json:"reason,omitempty"`
}

// Ring keeps the latest decisions. The zero value is ready for use.
type Ring struct {
	uneventful atomic.Uint64
	mu         sync.Mutex
	next       int
	kept       [Size]Decision
}

// Sampled tells whether the next uneventful decision is to be kept.
func (r *Ring) Sampled() bool { return r.uneventful.Add(1)%sampleOf == 1 }

// Add keeps a decision in place of the oldest one.
func (r *Ring) Add(decision Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kept[r.next] = decision
	r.next = (r.next + 1) % Size
}

// Find returns the kept decisions on a request, oldest first.
func (r *Ring) Find(requestID string) []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := []Decision{}
	for i := range Size {
		decision := r.kept[(r.next+i)%Size]
		if decision.RequestID == requestID && requestID != "" {
			found = append(found, decision)
		}
	}
	return found
}
