// Package explain stores the most recent routing decisions for operators to query.
package explain

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Capacity is the number of decisions that a Ring stores.
	Capacity = 4096
	// sampleInterval is the interval at which ordinary decisions are stored: 1 in 16.
	sampleInterval = 16
)

// Attempt is one attempt of a request at a target.
type Attempt struct {
	Target     string   `json:"target"`
	Version    string   `json:"version"`
	Candidates []string `json:"candidates"`
	// Evidence is the data on which the target was chosen. It is encoded as JSON when the decision
	// is queried.
	Evidence any    `json:"evidence,omitempty"`
	Failure  string `json:"failure,omitempty"`
	// LatencyMicros is the time in microseconds to the response header or to the failure.
	LatencyMicros int64 `json:"latencyMicros"`
}

// Decision describes how one request was routed and how it ended. Attempts are in the order
// in which they were made.
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

// Ring stores the last Capacity decisions. It is safe for concurrent use; the zero value is
// ready for use.
type Ring struct {
	ordinaryCount atomic.Uint64
	mu            sync.Mutex
	next          int
	decisions     [Capacity]Decision
}

// SampleOrdinary counts an ordinary decision, one attempt without a special outcome, and
// reports whether it is one of those to store.
func (r *Ring) SampleOrdinary() bool { return r.ordinaryCount.Add(1)%sampleInterval == 1 }

// Add stores a decision; it overwrites the oldest one when the ring is full.
func (r *Ring) Add(decision Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decisions[r.next] = decision
	r.next = (r.next + 1) % Capacity
}

// Find returns the stored decisions on a request, oldest first. It finds none for an empty
// request id.
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
