package metastore

import (
	"sync"
	"time"
)

// Faults selects the faults that the stand-in injects.
type Faults struct {
	// Down rejects every call with 503.
	Down bool `json:"down"`
	// Silent leaves every call without a response until the caller cancels it, including watches that
	// are already waiting.
	Silent bool `json:"silent"`
	// RejectByRate rejects every call with 429.
	RejectByRate bool `json:"refuseByRate"`
	// DelayMs delays every call by this many milliseconds.
	DelayMs int `json:"delayMs"`
	// DropResponses is the number of next writes whose connection is closed without a response after
	// the write took effect.
	DropResponses int `json:"loseAnswers"`
	// FailWatches closes the connection of each watch without waiting, and of no other call.
	FailWatches bool `json:"watchesBroken"`
	// DropEvents makes watches return no events.
	DropEvents bool `json:"deaf"`
	// VMListLagMs delays changes of the VM list by this many milliseconds.
	VMListLagMs int `json:"vmListLagMs"`
}

// Counts are the numbers of calls by kind. A watch also counts as a read.
type Counts struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	// Stale counts reads that accept stale data. They are not included in Reads.
	Stale       uint64 `json:"stale"`
	Watches     uint64 `json:"watches"`
	RateLimited uint64 `json:"rateLimited"`
}

// tokenBucket limits the rate of one kind of call. Its burst is the calls of one second.
type tokenBucket struct {
	rate     float64 // calls per second
	tokens   float64
	refilled time.Time
}

func (b *tokenBucket) allow(now time.Time) bool {
	b.tokens += now.Sub(b.refilled).Seconds() * b.rate
	b.tokens = min(b.tokens, b.rate)
	b.refilled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// admission counts calls and decides by the faults and rate limits how each one is handled.
type admission struct {
	mu     sync.Mutex
	faults Faults
	counts Counts
	reads  tokenBucket
	writes tokenBucket
}

// admissionDecision determines how one call is handled.
type admissionDecision struct {
	delay        time.Duration
	silent       bool
	down         bool
	rateLimited  bool
	dropResponse bool
}

// callKind is the kind of a call as distinguished by the rate limits and counts.
type callKind int

const (
	callRead callKind = iota
	callStaleRead
	callWrite
)

func (a *admission) admit(kind callKind, now time.Time) admissionDecision {
	a.mu.Lock()
	defer a.mu.Unlock()
	write := kind == callWrite
	bucket := &a.reads
	switch kind {
	case callWrite:
		a.counts.Writes++
		bucket = &a.writes
	case callStaleRead:
		a.counts.Stale++
	default:
		a.counts.Reads++
	}
	decision := admissionDecision{delay: time.Duration(a.faults.DelayMs) * time.Millisecond, down: a.faults.Down, silent: a.faults.Silent}
	if decision.down || decision.silent {
		return decision
	}
	if a.faults.RejectByRate || kind != callStaleRead && !bucket.allow(now) {
		a.counts.RateLimited++
		decision.rateLimited = true
		return decision
	}
	if write && a.faults.DropResponses > 0 {
		a.faults.DropResponses--
		decision.dropResponse = true
	}
	return decision
}

func (a *admission) countWatch() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts.Watches++
}

// watchFaults returns whether watches fail and whether their events are dropped.
func (a *admission) watchFaults() (fail, dropEvents bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.faults.Down || a.faults.FailWatches, a.faults.DropEvents
}

func (a *admission) isSilent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.faults.Silent
}
