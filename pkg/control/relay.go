package control

import (
	"github.com/fireflychute/fireflychute/pkg/membership"
	"github.com/fireflychute/fireflychute/pkg/share"
	"github.com/fireflychute/fireflychute/pkg/snapshot"
	"github.com/fireflychute/fireflychute/pkg/targets"
)

// maxCallsPerRelay is how many calls a node may have relayed to one other node at the same time, so
// that a node that stalls does not hold up many calls of the others.
const maxCallsPerRelay = 32

// relaysWithUnits returns the nodes that have units of the given targets. It is used for a version
// of which this node has no unit: the first units of a cold target belong to its owner alone, and
// without relaying every other node would reject the calls for the version.
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

// relayPeer is a node that accepts relayed calls.
type relayPeer struct {
	node  string
	relay *snapshot.Target
}

// availableRelays returns the nodes that are alive and accept relayed calls.
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

// unitHolders returns the nodes that have a unit of a target: the first ones in order of rank if
// the target has fewer units than there are nodes, otherwise all nodes.
func (c *Controller) unitHolders(address string) []string {
	ranked := c.nodesByRank[address]
	if ranked == nil {
		ranked = share.Ranked(address, c.countedNodes)
		c.nodesByRank[address] = ranked
	}
	return ranked[:min(c.totalUnits[address], len(ranked))]
}

// relayAddress returns the address at which a node accepts relayed calls, or "" if it accepts none.
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

// relayCounters returns the counters of the calls relayed to a node. They are never released,
// because the number of node names is small.
func (c *Controller) relayCounters(node string) *targets.Counters {
	counters := c.countersByRelay[node]
	if counters == nil {
		counters = &targets.Counters{}
		c.countersByRelay[node] = counters
	}
	return counters
}
