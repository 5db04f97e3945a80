package membership

import (
	"bytes"
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// TargetPrefix is the key prefix of facts about single targets. They are dropped before all others
// when there are more than MaxFacts, since each node also observes targets itself.
const TargetPrefix = "target/"

// factTable stores facts by key. When it is full it retains the facts whose keys sort first by
// compareDropOrder. That order depends on the key alone, so all nodes retain the same facts and
// anti-entropy does not reintroduce dropped ones.
type factTable struct {
	facts       map[string]*factEntry
	pending     map[string]*factEntry // facts with gossip transmissions left
	changed     map[string]bool       // keys changed since the last DrainChangedFacts
	nextDropped string                // stored key that is dropped next; empty when not computed
	dropped     uint64
}

type factEntry struct {
	Fact
	transmitsLeft int
}

func newFactTable() factTable {
	return factTable{facts: map[string]*factEntry{}, pending: map[string]*factEntry{}, changed: map[string]bool{}}
}

// Publish adds or replaces a fact and returns pushes of it to a few peers. A fact that is not newer
// than the stored one is ignored. A fact that exceeds MaxFactBytes, or that the full table does not
// admit, is dropped and counted (see DroppedFacts).
func (m *Machine) Publish(fact Fact) []Outgoing {
	if m.left || !m.facts.put(fact, m.transmitLimit()) {
		return nil
	}
	return m.push(pushFanout)
}

// Fact returns the stored fact of a key.
func (m *Machine) Fact(key string) (Fact, bool) {
	e, ok := m.facts.facts[key]
	if !ok {
		return Fact{}, false
	}
	return e.Fact, true
}

// DrainChangedFacts returns the facts that changed since the last call, sorted by key. Facts
// published by this node are included.
func (m *Machine) DrainChangedFacts() []Fact {
	changed := []Fact{}
	for _, key := range sortedKeys(m.facts.changed) {
		if e, ok := m.facts.facts[key]; ok {
			changed = append(changed, e.Fact)
		}
	}
	clear(m.facts.changed)
	return changed
}

// DroppedFacts returns how many facts have been dropped since the start because of their size or
// because the table was full.
func (m *Machine) DroppedFacts() uint64 {
	return m.facts.dropped
}

// RetainFacts removes the facts whose key does not match. All nodes should remove the same keys,
// since a peer that still stores a fact sends it again.
func (m *Machine) RetainFacts(keep func(key string) bool) {
	for key := range m.facts.facts {
		if !keep(key) {
			m.facts.remove(key)
		}
	}
}

// push sends pending updates to a few random peers unless the push rate limit is reached.
func (m *Machine) push(fanout int) []Outgoing {
	if m.pushTokens == 0 {
		return nil
	}
	m.pushTokens--
	out := []Outgoing{}
	for _, e := range m.sampleAlive(fanout, "") {
		out = append(out, m.ping(e.Address, e.Name, 0, false))
	}
	return out
}

// put stores a newer fact and reports whether it was stored.
func (t *factTable) put(fact Fact, transmits int) bool {
	current, ok := t.facts[fact.Key]
	if ok && !fact.newerThan(current.Fact) {
		return false
	}
	if fact.size() > MaxFactBytes || !ok && !t.makeRoom(fact.Key) {
		t.dropped++
		return false
	}
	fact.Value = bytes.Clone(fact.Value)
	e := &factEntry{Fact: fact, transmitsLeft: transmits}
	t.facts[fact.Key], t.pending[fact.Key], t.changed[fact.Key] = e, e, true
	return true
}

// makeRoom reports whether a new key can be stored, and drops a stored fact for it if necessary.
func (t *factTable) makeRoom(key string) bool {
	if len(t.facts) < MaxFacts {
		t.nextDropped = ""
		return true
	}
	if t.nextDropped == "" {
		for storedKey := range t.facts {
			if t.nextDropped == "" || compareDropOrder(storedKey, t.nextDropped) > 0 {
				t.nextDropped = storedKey
			}
		}
	}
	if compareDropOrder(key, t.nextDropped) > 0 {
		return false
	}
	t.dropped++
	t.remove(t.nextDropped)
	return true
}

func (t *factTable) remove(key string) {
	delete(t.facts, key)
	delete(t.pending, key)
	delete(t.changed, key)
	t.nextDropped = ""
}

// compareDropOrder orders keys so that the one to be dropped first sorts last.
func compareDropOrder(a, b string) int {
	return cmp.Or(
		compareBools(strings.HasPrefix(a, TargetPrefix), strings.HasPrefix(b, TargetPrefix)),
		cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)),
		cmp.Compare(a, b),
	)
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// byTransmitsLeft returns the pending facts, those with the most transmissions left first.
func (t *factTable) byTransmitsLeft() []*factEntry {
	pending := make([]*factEntry, 0, len(t.pending))
	for _, e := range t.pending {
		pending = append(pending, e)
	}
	slices.SortFunc(pending, func(a, b *factEntry) int {
		return cmp.Or(cmp.Compare(b.transmitsLeft, a.transmitsLeft), cmp.Compare(a.Key, b.Key))
	})
	return pending
}
