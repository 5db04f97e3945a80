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
	facts   map[string]*factEntry
	pending map[string]*factEntry // facts with sends left
	changed map[string]bool
	last    string // key that is dropped next; empty when not known
	dropped uint64
}

type factEntry struct {
	Fact
	sends int
}

func newFactTable() factTable {
	return factTable{facts: map[string]*factEntry{}, pending: map[string]*factEntry{}, changed: map[string]bool{}}
}

// Publish adds or replaces a fact and pushes it to a few peers at once. A fact
// that is not newer than the known one is ignored. One larger than MaxFactBytes,
// or for which there is no room, is dropped and counted (see DroppedFacts).
func (m *Machine) Publish(fact Fact) []Outgoing {
	if m.left || !m.facts.put(fact, m.sendLimit()) {
		return nil
	}
	return m.push(pushPeers)
}

// Fact returns the newest known fact of a key.
func (m *Machine) Fact(key string) (Fact, bool) {
	e, ok := m.facts.facts[key]
	if !ok {
		return Fact{}, false
	}
	return e.Fact, true
}

// TakeChanged returns the facts that changed since the last call, by key. Facts
// published by this node are included.
func (m *Machine) TakeChanged() []Fact {
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

// Retain removes the facts whose key does not match. All nodes should remove the
// same keys; a peer that still holds a fact sends it again.
func (m *Machine) Retain(keep func(key string) bool) {
	for key := range m.facts.facts {
		if !keep(key) {
			m.facts.remove(key)
		}
	}
}

// push sends the pending updates to a few peers, if the rate of pushes allows it.
func (m *Machine) push(peers int) []Outgoing {
	if m.pushTokens == 0 {
		return nil
	}
	m.pushTokens--
	out := []Outgoing{}
	for _, e := range m.pick(peers, "") {
		out = append(out, m.ping(e.Address, e.Name, 0, false))
	}
	return out
}

// put reports whether the fact was newer and there was room for it.
func (t *factTable) put(fact Fact, sends int) bool {
	known, ok := t.facts[fact.Key]
	if ok && !fact.newerThan(known.Fact) {
		return false
	}
	if fact.size() > MaxFactBytes || !ok && !t.makeRoom(fact.Key) {
		t.dropped++
		return false
	}
	fact.Value = bytes.Clone(fact.Value)
	e := &factEntry{Fact: fact, sends: sends}
	t.facts[fact.Key], t.pending[fact.Key], t.changed[fact.Key] = e, e, true
	return true
}

func (t *factTable) makeRoom(key string) bool {
	if len(t.facts) < MaxFacts {
		t.last = ""
		return true
	}
	if t.last == "" {
		for known := range t.facts {
			if t.last == "" || dropOrder(known, t.last) > 0 {
				t.last = known
			}
		}
	}
	if dropOrder(key, t.last) > 0 {
		return false
	}
	t.dropped++
	t.remove(t.last)
	return true
}

func (t *factTable) remove(key string) {
	delete(t.facts, key)
	delete(t.pending, key)
	delete(t.changed, key)
	t.last = ""
}

// dropOrder sorts the key that is dropped first last.
func dropOrder(a, b string) int {
	return cmp.Or(
		boolOrder(strings.HasPrefix(a, TargetPrefix), strings.HasPrefix(b, TargetPrefix)),
		cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)),
		cmp.Compare(a, b),
	)
}

func boolOrder(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// mostSends returns the pending facts, those sent least often first.
func (t *factTable) mostSends() []*factEntry {
	pending := make([]*factEntry, 0, len(t.pending))
	for _, e := range t.pending {
		pending = append(pending, e)
	}
	slices.SortFunc(pending, func(a, b *factEntry) int {
		return cmp.Or(cmp.Compare(b.sends, a.sends), cmp.Compare(a.Key, b.Key))
	})
	return pending
}
