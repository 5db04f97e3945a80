package quota

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// Key identifies one incarnation of a target. A restarted target has named no limit.
type Key struct {
	Target      string
	Incarnation int64
}

// Limit is the limit of a target as far as a node knows it.
type Limit struct {
	Key
	// Limited is false if the limit has ended.
	Limited bool
	// Rate is the number of requests per second that the target accepts from all nodes together,
	// valid if Limited is set.
	Rate float64
	// Version grows with each change that a node hears from the target itself, so that a
	// delayed message never replaces a later change.
	Version uint64
}

// isStricter reports whether a limit allows less than another one.
func (l Limit) isStricter(other Limit) bool {
	if l.Limited != other.Limited {
		return l.Limited
	}
	return l.Limited && l.Rate < other.Rate
}

// Change is a change of what a node knows of a limit.
type Change struct {
	Previous, Current Limit
}

// maxEntries limits the targets in a table. Limits beyond it are still honoured by the node that
// hears them, once an entry is free.
const maxEntries = 16384

type entry struct {
	limit Limit
	// learnedAt is when the node learned of the current version.
	learnedAt  time.Time
	lastListed time.Time
}

// Table holds the limits that a node knows. It is safe for concurrent use.
type Table struct {
	limited atomic.Int64
	mu      sync.Mutex
	entries map[Key]*entry
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[Key]*entry{}}
}

// IsEmpty reports whether no target is limited. It costs next to nothing.
func (t *Table) IsEmpty() bool { return t.limited.Load() == 0 }

// LimitedCount returns the number of limited targets.
func (t *Table) LimitedCount() int { return int(t.limited.Load()) }

// Get returns the limit of a target, and false if the target has none.
func (t *Table) Get(key Key) (Limit, bool) {
	if t.IsEmpty() {
		return Limit{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.entries[key]
	if known == nil || !known.limit.Limited {
		return Limit{}, false
	}
	return known.limit, true
}

// Observe applies what a response of the target says. A stricter limit applies at once. A response
// that lifts or raises the limit counts only if its request was sent after the node had learned of
// the current limit, since an older response may arrive after a newer one.
func (t *Table) Observe(key Key, said Statement, sentAt, now time.Time) (Change, bool) {
	if said.Kind == Malformed || said.Kind == NoLimit && t.IsEmpty() {
		return Change{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.entries[key]
	if known == nil {
		if said.Kind == NoLimit || len(t.entries) >= maxEntries {
			return Change{}, false
		}
		known = &entry{limit: Limit{Key: key}, lastListed: now}
		t.entries[key] = known
	}
	next := Limit{Key: key, Limited: said.Kind == Named, Rate: said.Rate, Version: known.limit.Version + 1}
	isSame := next.Limited == known.limit.Limited && next.Rate == known.limit.Rate
	if isSame || !next.isStricter(known.limit) && sentAt.Before(known.learnedAt) {
		return Change{}, false
	}
	return t.replace(known, next, now), true
}

func (t *Table) replace(known *entry, next Limit, now time.Time) Change {
	change := Change{Previous: known.limit, Current: next}
	if next.Limited != known.limit.Limited {
		if next.Limited {
			t.limited.Add(1)
		} else {
			t.limited.Add(-1)
		}
	}
	known.limit, known.learnedAt = next, now
	return change
}

// listingRetention is how long a limit is kept after its target was last listed. An entry that
// expires while the store is away belongs to the same incarnation when it returns.
const listingRetention = 2 * time.Minute

// Sweep drops the limits of targets that have not been listed for listingRetention.
func (t *Table) Sweep(listed map[Key]bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.entries, func(key Key, known *entry) bool {
		if listed[key] {
			known.lastListed = now
		}
		isExpired := now.Sub(known.lastListed) > listingRetention
		if isExpired && known.limit.Limited {
			t.limited.Add(-1)
		}
		return isExpired
	})
}
