package metastore

import (
	"sync"
	"time"
)

// Faults is what the stand-in is told to do wrong.
type Faults struct {
	// Down refuses every call with 503.
	Down bool `json:"down"`
	// Silent calls, watches that are waiting included, get no answer until the caller leaves.
	Silent bool `json:"silent"`
	// RejectByRate refuses every call with 429.
	RejectByRate bool `json:"refuseByRate"`
	// DelayMs delays every call by this many milliseconds.
	DelayMs int `json:"delayMs"`
	// DropResponses drops the connection after this many further writes took effect.
	DropResponses int `json:"loseAnswers"`
	// FailWatches fails each watch at once, and no other call.
	FailWatches bool `json:"watchesBroken"`
	// DropEvents watches hear of no change.
	DropEvents bool `json:"deaf"`
	// VMListLagMs delays changes of the VM list by this many milliseconds.
	VMListLagMs int `json:"vmListLagMs"`
}

// Counts is how often the platform was called. A watch counts as a read too.
type Counts struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	// Stale counts reads that may be answered with older data. They are not in Reads.
	Stale       uint64 `json:"stale"`
	Watches     uint64 `json:"watches"`
	RateLimited uint64 `json:"rateLimited"`
}

// tokenBucket is a token bucket for one kind of call.
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

// admission applies faults and rates, and counts calls.
type admission struct {
	mu     sync.Mutex
	faults Faults
	counts Counts
	reads  tokenBucket
	writes tokenBucket
}

// admissionDecision is what is to be done with one call.
type admissionDecision struct {
	delay        time.Duration
	silent       bool
	down         bool
	rateLimited  bool
	dropResponse bool
}

// callKind is a kind of call as the rates and counts tell them apart.
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

// watchFaults returns the faults that concern waiting watches.
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
