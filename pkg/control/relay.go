package control

import (
	"github.com/fireflychute/fireflychute/pkg/membership"
	"github.com/fireflychute/fireflychute/pkg/share"
	"github.com/fireflychute/fireflychute/pkg/snapshot"
	"github.com/fireflychute/fireflychute/pkg/targets"
)

// maxCallsPerRelay is how many calls a node may have handed over to one other node at
// the same time, so that a node which stalls does not hold many calls of the others.
const maxCallsPerRelay = 32

// relaysWithUnits returns the nodes that have units of the given targets, for a version of
// which this node has no unit: a cold target's first units are at its owner alone,
// and without handing over, every other node would refuse the version's calls.
func (c *Controller) relaysWithUnits(targets []*snapshot.Target) []*snapshot.Target {
	unitsByNode := map[string]int{}
	for _, t := range targets {
		for _, node := range c.unitHolders(t.Address) {
			unitsByNode[node]++
		}
	}
	found := []*snapshot.Target{}
	for _, other := range c.relayPeers {
		if unitsByNode[other.node] > 0 {
			found = append(found, other.relay)
		}
	}
	return found
}

// relayPeer is a node that takes over calls.
type relayPeer struct {
	node  string
	relay *snapshot.Target
}

// availableRelays returns the nodes that respond and take over calls.
func (c *Controller) availableRelays() []relayPeer {
	found := []relayPeer{}
	for _, member := range c.members.Members() {
		address := c.relayAddress(member)
		if address == "" {
			continue
		}
		found = append(found, relayPeer{member.Name, &snapshot.Target{
			Address: address, DataCentre: member.DataCentre, Units: maxCallsPerRelay, Connections: maxCallsPerRelay, IsRelay: true,
			Local: member.DataCentre == c.options.Self.DataCentre, Counters: c.relayCounters(member.Name),
		}})
	}
	return found
}

func relayTargets(nodes []relayPeer) []*snapshot.Target {
	relays := make([]*snapshot.Target, len(nodes))
	for i, node := range nodes {
		relays[i] = node.relay
	}
	return relays
}

// unitHolders returns the nodes with a unit of a target that has fewer units than
// there are nodes.
func (c *Controller) unitHolders(address string) []string {
	ranked := c.nodesByRank[address]
	if ranked == nil {
		ranked = share.Ranked(address, c.countedNodes)
		c.nodesByRank[address] = ranked
	}
	return ranked[:min(c.totalUnits[address], len(ranked))]
}

// relayAddress returns where a node takes over calls, or "" when it does not.
func (c *Controller) relayAddress(member membership.Member) string {
	if member.State != membership.Alive || member.Name == c.options.Self.Name {
		return ""
	}
	fact, ok := c.members.Fact(prefixRelay + member.Name)
	if !ok {
		return ""
	}
	return string(fact.Value)
}

// relayCounters returns the counters of the calls handed over to a node. They
// live as long as this node, since node names are few.
func (c *Controller) relayCounters(node string) *targets.Counters {
	counters := c.countersByRelay[node]
	if counters == nil {
		counters = &targets.Counters{}
		c.countersByRelay[node] = counters
	}
	return counters
}
