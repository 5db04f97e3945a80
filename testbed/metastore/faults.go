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
	// RefuseByRate refuses every call with 429.
	RefuseByRate bool `json:"refuseByRate"`
	// DelayMs delays every call by this many milliseconds.
	DelayMs int `json:"delayMs"`
	// LoseAnswers drops the connection after this many further writes took effect.
	LoseAnswers int `json:"loseAnswers"`
	// WatchesBroken fails each watch at once, and no other call.
	WatchesBroken bool `json:"watchesBroken"`
	// Deaf watches hear of no change.
	Deaf bool `json:"deaf"`
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

// limiter is a token bucket for one kind of call.
type limiter struct {
	rate   float64 // calls per second
	tokens float64
	last   time.Time
}

func (l *limiter) allow(now time.Time) bool {
	l.tokens += now.Sub(l.last).Seconds() * l.rate
	l.tokens = min(l.tokens, l.rate)
	l.last = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// gate applies faults and rates, and counts calls.
type gate struct {
	mu     sync.Mutex
	faults Faults
	counts Counts
	reads  limiter
	writes limiter
}

// verdict is what is to be done with one call.
type verdict struct {
	delay      time.Duration
	silent     bool
	down       bool
	limited    bool
	loseAnswer bool
}

// callKind is a kind of call as the rates and counts tell them apart.
type callKind int

const (
	callRead callKind = iota
	callStaleRead
	callWrite
)

func (g *gate) admit(kind callKind, now time.Time) verdict {
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
	v := verdict{delay: time.Duration(g.faults.DelayMs) * time.Millisecond, down: g.faults.Down, silent: g.faults.Silent}
	if v.down || v.silent {
		return v
	}
	if g.faults.RefuseByRate || kind != callStaleRead && !bucket.allow(now) {
		g.counts.RateLimited++
		v.limited = true
		return v
	}
	if write && g.faults.LoseAnswers > 0 {
		g.faults.LoseAnswers--
		v.loseAnswer = true
	}
	return v
}

func (g *gate) countWatch() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts.Watches++
}

// ofWatches returns the faults that concern waiting watches.
func (g *gate) ofWatches() (broken, deaf bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.faults.Down || g.faults.WatchesBroken, g.faults.Deaf
}

func (g *gate) isSilent() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.faults.Silent
}
