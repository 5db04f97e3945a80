package membership

import (
	"cmp"
	"slices"

	"github.com/fireflychute/fireflychute/pkg/message"
)

// gossip collects updates up to gossipBytes: the own entry if asked for, what is
// said of the receiver if it is not alive (so that it can refute), then facts,
// members and revisions, those sent least often first.
func (m *Machine) gossip(receiver string, introduce bool) *message.Gossip {
	g := &message.Gossip{Counted: m.countedSize(), Established: m.join.established}
	room := gossipBytes
	if introduce || m.selfSends > 0 {
		m.selfSends = max(m.selfSends-1, 0)
		add(&g.Members, m.self.wire(), &room)
	}
	if e := m.members[receiver]; e != nil && e.State != Alive {
		add(&g.Members, e.wire(), &room)
	}
	m.addFacts(g, &room)
	m.addMembers(g, &room)
	m.addRevisions(g, &room)
	return g
}

type sized interface{ Msgsize() int }

// add appends an update that fits. One update larger than the limit is added when
// the message carries nothing else yet.
func add[T any, P interface {
	*T
	sized
}](list *[]T, update T, room *int) bool {
	size := P(&update).Msgsize()
	if size > *room && *room != gossipBytes {
		return false
	}
	*list = append(*list, update)
	*room = max(*room-size, 0)
	return true
}

func (m *Machine) addFacts(g *message.Gossip, room *int) {
	for _, e := range m.facts.mostSends() {
		if !add(&g.Facts, e.wire(), room) {
			return
		}
		if e.sends--; e.sends <= 0 {
			delete(m.facts.pending, e.Key)
		}
	}
}

func (m *Machine) addMembers(g *message.Gossip, room *int) {
	for _, e := range m.pendingMembers(func(e *entry) int { return e.sends }) {
		if !add(&g.Members, e.wire(), room) {
			return
		}
		e.sends--
	}
}

func (m *Machine) addRevisions(g *message.Gossip, room *int) {
	if m.revSends > 0 && add(&g.Applied, m.self.applied(), room) {
		m.revSends--
	}
	for _, e := range m.pendingMembers(func(e *entry) int { return e.revSends }) {
		if !add(&g.Applied, e.applied(), room) {
			return
		}
		e.revSends--
	}
}

func (m Member) applied() message.Applied {
	return message.Applied{Name: m.Name, Incarnation: m.Incarnation, Revision: m.Revision}
}

func (m *Machine) pendingMembers(sends func(*entry) int) []*entry {
	pending := []*entry{}
	for _, e := range m.members {
		if sends(e) > 0 {
			pending = append(pending, e)
		}
	}
	slices.SortFunc(pending, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(sends(b), sends(a)), cmp.Compare(a.Name, b.Name))
	})
	return pending
}

// mergeGossip takes over updates and passes new facts on at once to a few peers.
// A fact is pushed only when it is new to this node, and only while the rate of
// pushes allows it, so the number of pushes is bounded.
func (m *Machine) mergeGossip(from string, g *message.Gossip) []Outgoing {
	if g == nil {
		return nil
	}
	m.heard(g.Counted)
	for _, member := range g.Members {
		m.merge(memberOf(member))
	}
	if e := m.members[from]; e != nil {
		e.established = g.Established
	}
	for _, applied := range g.Applied {
		m.mergeApplied(applied)
	}
	if m.mergeFacts(g.Facts) {
		return m.push(relayPeers)
	}
	return nil
}

func (m *Machine) mergeFacts(facts []message.Fact) bool {
	news := false
	for _, fact := range facts {
		if m.facts.put(factOf(fact), m.sendLimit()) {
			news = true
		}
	}
	return news
}
