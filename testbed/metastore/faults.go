package metastore

import (
	"sync"
	"time"
)

// Faults selects the faults that the stand-in injects.
type Faults struct {
	// Down rejects every call with 503.
	Down bool `json:"down"`
	// Silent leaves every call without a response until the caller cancels it. That includes watches
	// that are already waiting.
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

func (l *tokenBucket) allow(now time.Time) bool {
	l.tokens += now.Sub(l.refilled).Seconds() * l.rate
	l.tokens = min(l.tokens, l.rate)
	l.refilled = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
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

func (g *admission) admit(kind callKind, now time.Time) admissionDecision {
	g.mu.Lock()
	defer g.mu.Unlock()
	write := kind == callWrite
	bucket := &g.reads
	switch kind {
	case callWrite:
		g.counts.Writes++
		bucket = &g.writes
	case callStaleRead:
		g.counts.Stale++
	default:
		g.counts.Reads++
	}
	decision := admissionDecision{delay: time.Duration(g.faults.DelayMs) * time.Millisecond, down: g.faults.Down, silent: g.faults.Silent}
	if decision.down || decision.silent {
		return decision
	}
	if g.faults.RejectByRate || kind != callStaleRead && !bucket.allow(now) {
		g.counts.RateLimited++
		decision.rateLimited = true
		return decision
	}
	if write && g.faults.DropResponses > 0 {
		g.faults.DropResponses--
		decision.dropResponse = true
	}
	return decision
}

func (g *admission) countWatch() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts.Watches++
}

// watchFaults returns whether watches fail and whether their events are dropped.
func (g *admission) watchFaults() (fail, dropEvents bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.faults.Down || g.faults.FailWatches, g.faults.DropEvents
}

func (g *admission) isSilent() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.faults.Silent
}
