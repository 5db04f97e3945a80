package membership

import (
	"cmp"
	"slices"

	"github.com/fireflychute/fireflychute/pkg/message"
)

// buildGossip collects updates up to maxGossipBytes: this node's entry if includeSelf is set or
// transmissions of it are left, the receiver's entry if its state is not Alive (so that the
// receiver can refute it), then facts, members and revisions, each with the most transmissions left
// first.
func (m *Machine) buildGossip(receiver string, includeSelf bool) *message.Gossip {
	g := &message.Gossip{Counted: m.countedSize(), Established: m.join.established}
	remaining := maxGossipBytes
	if includeSelf || m.selfTransmitsLeft > 0 {
		m.selfTransmitsLeft = max(m.selfTransmitsLeft-1, 0)
		appendUpdate(&g.Members, m.self.toMessage(), &remaining)
	}
	if e := m.members[receiver]; e != nil && e.State != Alive {
		appendUpdate(&g.Members, e.toMessage(), &remaining)
	}
	m.appendFacts(g, &remaining)
	m.appendMembers(g, &remaining)
	m.appendRevisions(g, &remaining)
	return g
}

// sized is implemented by generated messages. Msgsize is an upper bound of the encoded size in
// bytes.
type sized interface{ Msgsize() int }

// appendUpdate appends an update if it fits into the remaining bytes and reports whether it did. An
// update larger than maxGossipBytes is appended if the message carries no other update yet.
func appendUpdate[T any, P interface {
	*T
	sized
}](list *[]T, update T, remaining *int) bool {
	size := P(&update).Msgsize()
	if size > *remaining && *remaining != maxGossipBytes {
		return false
	}
	*list = append(*list, update)
	*remaining = max(*remaining-size, 0)
	return true
}

func (m *Machine) appendFacts(g *message.Gossip, remaining *int) {
	for _, e := range m.facts.byTransmitsLeft() {
		if !appendUpdate(&g.Facts, e.toMessage(), remaining) {
			return
		}
		if e.transmitsLeft--; e.transmitsLeft <= 0 {
			delete(m.facts.pending, e.Key)
		}
	}
}

func (m *Machine) appendMembers(g *message.Gossip, remaining *int) {
	for _, e := range m.pendingMembers(func(e *entry) int { return e.transmitsLeft }) {
		if !appendUpdate(&g.Members, e.toMessage(), remaining) {
			return
		}
		e.transmitsLeft--
	}
}

func (m *Machine) appendRevisions(g *message.Gossip, remaining *int) {
	if m.revisionTransmitsLeft > 0 && appendUpdate(&g.Applied, m.self.toApplied(), remaining) {
		m.revisionTransmitsLeft--
	}
	for _, e := range m.pendingMembers(func(e *entry) int { return e.revisionTransmitsLeft }) {
		if !appendUpdate(&g.Applied, e.toApplied(), remaining) {
			return
		}
		e.revisionTransmitsLeft--
	}
}

func (m Member) toApplied() message.Applied {
	return message.Applied{Name: m.Name, Incarnation: m.Incarnation, Revision: m.Revision}
}

func (m *Machine) pendingMembers(transmitsLeft func(*entry) int) []*entry {
	pending := []*entry{}
	for _, e := range m.members {
		if transmitsLeft(e) > 0 {
			pending = append(pending, e)
		}
	}
	slices.SortFunc(pending, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(transmitsLeft(b), transmitsLeft(a)), cmp.Compare(a.Name, b.Name))
	})
	return pending
}

// mergeGossip applies updates and forwards new facts immediately to a few peers. A fact is
// forwarded only when it is new to this node, and only within the push rate limit, so that the
// number of pushes is bounded.
func (m *Machine) mergeGossip(from string, g *message.Gossip) []Outgoing {
	if g == nil {
		return nil
	}
	m.recordPeerFleetSize(g.Counted)
	for _, member := range g.Members {
		m.mergeMember(memberFromMessage(member))
	}
	if e := m.members[from]; e != nil {
		e.established = g.Established
	}
	for _, applied := range g.Applied {
		m.mergeApplied(applied)
	}
	if m.mergeFacts(g.Facts) {
		return m.push(forwardFanout)
	}
	return nil
}

// mergeFacts reports whether any fact was newer than the stored one.
func (m *Machine) mergeFacts(facts []message.Fact) bool {
	changed := false
	for _, fact := range facts {
		if m.facts.put(factFromMessage(fact), m.transmitLimit()) {
			changed = true
		}
	}
	return changed
}
