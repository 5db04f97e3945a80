package quota

import (
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Key identifies one incarnation of a target. A restarted target has named no limit.
type Key struct {
	Target      string
	Incarnation int64
	// Warmup is set for the rate that the target tolerates while it is cold. It is configured, so
	// it is in no Table.
	Warmup bool
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

// WarmupLimit returns the limit of a cold target that tolerates a rate of requests per second.
func WarmupLimit(target string, incarnation int64, rate float64) Limit {
	return Limit{Key: Key{Target: target, Incarnation: incarnation, Warmup: true}, Limited: true, Rate: rate}
}

// isStricter reports whether a limit allows less than another one.
func (l Limit) isStricter(other Limit) bool {
	if l.Limited != other.Limited {
		return l.Limited
	}
	return l.Limited && l.Rate < other.Rate
}

// supersedes reports whether a limit that a peer sent replaces another one. Of two limits with the
// same version, which two nodes heard at the same time, all nodes keep the stricter one.
func (l Limit) supersedes(other Limit) bool {
	if l.Version != other.Version {
		return l.Version > other.Version
	}
	return l.isStricter(other)
}

// Change is a change of what a node knows of a limit.
type Change struct {
	Previous, Current Limit
	// Source is the name of the peer from which the node has the change, empty if it heard it
	// from the target itself.
	Source string
}

// maxEntries limits the targets in a table. Limits of further targets are not kept.
const maxEntries = 16384

type entry struct {
	limit Limit
	// learnedAt is when the node learned of the current version, heardAt when the target last
	// responded to this node.
	learnedAt, heardAt time.Time
	lastListed         time.Time
	// isOwn is set if the node heard the current version from the target itself.
	isOwn bool
}

// Table holds the limits that a node knows. It is safe for concurrent use.
type Table struct {
	limited atomic.Int64
	mu      sync.Mutex
	entries map[Key]*entry
	changes uint64
	// onChange is called for each change, without the lock.
	onChange func(Change)
}

// NewTable returns an empty table that calls onChange for each change.
func NewTable(onChange func(Change)) *Table {
	// The count of changes starts at a random number, so that a peer notices a restart.
	return &Table{entries: map[Key]*entry{}, changes: rand.Uint64() >> 1, onChange: onChange}
}

// IsEmpty reports whether no target is limited. It costs next to nothing.
func (t *Table) IsEmpty() bool { return t.limited.Load() == 0 }

// LimitedCount returns the number of limited targets.
func (t *Table) LimitedCount() int { return int(t.limited.Load()) }

// ChangeCount returns a number that differs after each change.
func (t *Table) ChangeCount() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes
}

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

// Known returns what is known of a target, also of one that is not limited.
func (t *Table) Known(key Key) Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.entries[key]
	if known == nil {
		return Limit{Key: key}
	}
	return known.limit
}

// Observe applies what a response of the target says. A stricter limit applies at once. A response
// that lifts or raises the limit counts only if its request was sent after the node had learned of
// the current limit, since an older response may arrive after a newer one.
func (t *Table) Observe(key Key, said Statement, sentAt, now time.Time) {
	if said.Kind == Malformed || said.Kind == NoLimit && t.IsEmpty() {
		return
	}
	change, changed := t.observe(key, said, sentAt, now)
	if changed {
		t.onChange(change)
	}
}

func (t *Table) observe(key Key, said Statement, sentAt, now time.Time) (Change, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.entries[key]
	if known == nil && said.Kind == NoLimit {
		return Change{}, false
	}
	known = t.ensure(key, now)
	if known == nil {
		return Change{}, false
	}
	known.heardAt = now
	next := Limit{Key: key, Limited: said.Kind == Named, Rate: said.Rate, Version: known.limit.Version + 1}
	isSame := next.Limited == known.limit.Limited && next.Rate == known.limit.Rate
	if isSame || !next.isStricter(known.limit) && sentAt.Before(known.learnedAt) {
		return Change{}, false
	}
	return t.replace(known, next, "", now), true
}

// ensure returns the entry of a target, nil if the table is full.
func (t *Table) ensure(key Key, now time.Time) *entry {
	known := t.entries[key]
	if known == nil && len(t.entries) < maxEntries {
		known = &entry{limit: Limit{Key: key}, lastListed: now}
		t.entries[key] = known
	}
	return known
}

// Merge applies the limits that a peer knows.
func (t *Table) Merge(source string, limits []Limit, now time.Time) {
	for _, limit := range limits {
		change, changed := t.merge(source, limit, now)
		if changed {
			t.onChange(change)
		}
	}
}

func (t *Table) merge(source string, limit Limit, now time.Time) (Change, bool) {
	if limit.Version == 0 || !(limit.Rate >= 0) {
		return Change{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.ensure(limit.Key, now)
	if known == nil || !limit.supersedes(known.limit) {
		return Change{}, false
	}
	return t.replace(known, limit, source, now), true
}

func (t *Table) replace(known *entry, next Limit, source string, now time.Time) Change {
	change := Change{Previous: known.limit, Current: next, Source: source}
	if next.Limited != known.limit.Limited {
		if next.Limited {
			t.limited.Add(1)
		} else {
			t.limited.Add(-1)
		}
	}
	known.limit, known.learnedAt, known.isOwn = next, now, source == ""
	t.changes++
	return change
}

// All returns all known limits, ended ones included.
func (t *Table) All() []Limit {
	return t.list(func(*entry) bool { return true })
}

// Own returns the limits, ended ones included, whose latest version this node heard from the target
// itself.
func (t *Table) Own() []Limit {
	return t.list(func(known *entry) bool { return known.isOwn })
}

// Limited returns the limits in force.
func (t *Table) Limited() []Limit {
	if t.IsEmpty() {
		return nil
	}
	return t.list(func(known *entry) bool { return known.limit.Limited })
}

func (t *Table) list(selects func(*entry) bool) []Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var limits []Limit
	for _, known := range t.entries {
		if selects(known) {
			limits = append(limits, known.limit)
		}
	}
	return limits
}

// UnheardSince returns the limits in force of targets that have not responded to this node since a
// time.
func (t *Table) UnheardSince(since time.Time) []Limit {
	if t.IsEmpty() {
		return nil
	}
	return t.list(func(known *entry) bool { return known.limit.Limited && known.heardAt.Before(since) })
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
