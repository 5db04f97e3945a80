package membership

import (
	"bytes"
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// TargetPrefix begins the keys of facts about single targets. They are dropped
// before all others when there are more than MaxFacts, since each node also
// observes targets itself.
const TargetPrefix = "target/"

// factTable holds facts by key. When it is full it keeps the facts whose keys come
// first in dropOrder. That order depends on the key alone, so all nodes keep the
// same facts and the digest exchange does not bring dropped ones back.
type factTable struct {
	facts       map[string]*factEntry
	pending     map[string]*factEntry // facts with sends left
	changed     map[string]bool
	nextDropped string // key that is dropped next; empty when not known
	dropped     uint64
}

type factEntry struct {
	Fact
	transmitsLeft int
}

func newFactTable() factTable {
	return factTable{facts: map[string]*factEntry{}, pending: map[string]*factEntry{}, changed: map[string]bool{}}
}

// Publish adds or replaces a fact and pushes it to a few peers at once. A fact
// that is not newer than the known one is ignored. One larger than MaxFactBytes,
// or for which there is no room, is dropped and counted (see DroppedFacts).
func (m *Machine) Publish(fact Fact) []Outgoing {
	if m.left || !m.facts.put(fact, m.transmitLimit()) {
		return nil
	}
	return m.push(pushFanout)
}

// Fact returns the newest known fact of a key.
func (m *Machine) Fact(key string) (Fact, bool) {
	e, ok := m.facts.facts[key]
	if !ok {
		return Fact{}, false
	}
	return e.Fact, true
}

// DrainChangedFacts returns the facts that changed since the last call, by key. Facts
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

// DroppedFacts returns how many facts were dropped for their size or for lack of
// room since the start.
func (m *Machine) DroppedFacts() uint64 {
	return m.facts.dropped
}

// RetainFacts removes the facts whose key does not match. All nodes should remove the
// same keys; a peer that still holds a fact sends it again.
func (m *Machine) RetainFacts(keep func(key string) bool) {
	for key := range m.facts.facts {
		if !keep(key) {
			m.facts.remove(key)
		}
	}
}

// push sends the pending updates to a few peers, if the rate of pushes allows it.
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

// put reports whether the fact was newer and there was room for it.
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

// compareDropOrder sorts the key that is dropped first last.
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

// byTransmitsLeft returns the pending facts, those sent least often first.
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
