package membership

import (
	"slices"

	"github.com/fireflychute/fireflychute/pkg/message"
)

// pingNext pings the next member of the round. Rounds are shuffled, so that each
// member is pinged within one round.
func (m *Machine) pingNext() []Outgoing {
	for range 2 {
		for len(m.probeQueue) > 0 {
			name := m.probeQueue[len(m.probeQueue)-1]
			m.probeQueue = m.probeQueue[:len(m.probeQueue)-1]
			if e := m.members[name]; e != nil && e.State <= Suspect {
				return []Outgoing{m.probe(e)}
			}
		}
		m.probeQueue = m.memberNames(func(e *entry) bool { return e.State <= Suspect })
		m.random.Shuffle(len(m.probeQueue), func(i, j int) { m.probeQueue[i], m.probeQueue[j] = m.probeQueue[j], m.probeQueue[i] })
	}
	return nil
}

// probe pings a member and awaits the ack.
func (m *Machine) probe(e *entry) Outgoing {
	sequence := m.nextSequence()
	m.probes[sequence] = &probe{target: e.Name, deadline: m.now.Add(ackTimeout)}
	return m.ping(e.Address, e.Name, sequence, !e.acknowledged)
}

// pingSeeds pings some addresses while no other node is known to run, and
// otherwise now and then one address that no known member has.
func (m *Machine) pingSeeds() []Outgoing {
	if m.now.Before(m.nextSeedPing) {
		return nil
	}
	count, interval := seedPings, seedInterval
	if len(m.memberNames(func(e *entry) bool { return e.State <= Suspect })) > 0 {
		count, interval = 1, syncInterval
	}
	m.nextSeedPing = m.now.Add(interval)
	out := []Outgoing{}
	seeds := m.unknownAddresses()
	for _, seed := range seeds[:min(count, len(seeds))] {
		sequence := m.nextSequence()
		m.probes[sequence] = &probe{deadline: m.now.Add(ackTimeout)}
		out = append(out, m.ping(seed, "", sequence, true))
	}
	return out
}

// unknownAddresses returns the seeds and the listed addresses that no known member
// has, in random order. The list helps a node whose seeds have all been replaced.
func (m *Machine) unknownAddresses() []string {
	known := map[string]bool{m.self.Address: true}
	for _, e := range m.members {
		known[e.Address] = e.State != Left
	}
	unknown := append(sortedKeys(m.listedAddresses), m.seeds...)
	slices.Sort(unknown)
	unknown = slices.DeleteFunc(slices.Compact(unknown), func(address string) bool { return known[address] })
	m.random.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	return unknown
}

// pingFailed pings one failed member, which refutes if it runs.
func (m *Machine) pingFailed() []Outgoing {
	if m.now.Before(m.nextFailedPing) {
		return nil
	}
	m.nextFailedPing = m.now.Add(failedPingInterval)
	failed := m.memberNames(func(e *entry) bool { return e.State == Failed })
	if len(failed) == 0 {
		return nil
	}
	e := m.members[failed[m.random.IntN(len(failed))]]
	sequence := m.nextSequence()
	m.probes[sequence] = &probe{target: e.Name, deadline: m.now.Add(ackTimeout), indirect: true}
	return []Outgoing{m.ping(e.Address, e.Name, sequence, true)}
}

// expireProbes asks other members to ping a member whose ack is missing, and
// suspects it when that fails too.
func (m *Machine) expireProbes() []Outgoing {
	out := []Outgoing{}
	for _, sequence := range sortedKeys(m.probes) {
		p := m.probes[sequence]
		e := m.members[p.target]
		switch {
		case m.now.Before(p.deadline):
			continue
		case e == nil:
			delete(m.probes, sequence)
		case p.indirect:
			delete(m.probes, sequence)
			m.suspect(e)
		default:
			p.indirect, p.deadline = true, m.now.Add(indirectTimeout)
			out = append(out, m.requestIndirectPings(sequence, e)...)
		}
	}
	for sequence, r := range m.relays {
		if !m.now.Before(r.deadline) {
			delete(m.relays, sequence)
		}
	}
	return out
}

func (m *Machine) requestIndirectPings(sequence uint64, e *entry) []Outgoing {
	out := []Outgoing{}
	for _, other := range m.sampleAlive(indirectPeers, e.Name) {
		request := &message.PingRequest{Sequence: sequence, Target: e.Name, Address: e.Address}
		out = append(out, m.envelope(other.Address, Message{PingRequest: request}))
	}
	return out
}

func (m *Machine) suspect(e *entry) {
	if e.State == Alive {
		m.setState(e, Suspect)
	}
}
