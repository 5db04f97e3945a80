// Package explain keeps the latest decisions on requests for operators to query.
package explain

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Capacity is how many decisions are kept.
	Capacity = 4096
	// sampleInterval is the part of the uneventful decisions that is kept: 1 in 16.
	sampleInterval = 16
)

// Attempt is one try of a request.
type Attempt struct {
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
	Attempts  []Attempt `json:"tries"`
	Rejected  bool      `json:"refused"`
	Status    int       `json:"status"`
	Outcome   string    `json:"outcome"`
	Reason    string    `json:"reason,omitempty"`
}

// Ring keeps the latest decisions. The zero value is ready for use.
type Ring struct {
	ordinaryCount atomic.Uint64
	mu            sync.Mutex
	next          int
	decisions     [Capacity]Decision
}

// SampleOrdinary tells whether the next uneventful decision is to be kept.
func (r *Ring) SampleOrdinary() bool { return r.ordinaryCount.Add(1)%sampleInterval == 1 }

// Add keeps a decision in place of the oldest one.
func (r *Ring) Add(decision Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decisions[r.next] = decision
	r.next = (r.next + 1) % Capacity
}

// Find returns the kept decisions on a request, oldest first.
func (r *Ring) Find(requestID string) []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := []Decision{}
	for i := range Capacity {
		decision := r.decisions[(r.next+i)%Capacity]
		if decision.RequestID == requestID && requestID != "" {
			found = append(found, decision)
		}
	}
	return found
}
