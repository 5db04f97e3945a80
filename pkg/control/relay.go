package control

import (
	"github.com/fireflychute/fireflychute/pkg/membership"
	"github.com/fireflychute/fireflychute/pkg/share"
	"github.com/fireflychute/fireflychute/pkg/snapshot"
	"github.com/fireflychute/fireflychute/pkg/targets"
)

// relayUnits is how many calls a node may have handed over to one other node at
// the same time, so that a node which stalls does not hold many calls of the others.
const relayUnits = 32

// relays returns the nodes that have units of the given targets, for a version of
// which this node has no unit: a cold target's first units are at its owner alone,
// and without handing over, every other node would refuse the version's calls.
func (c *Controller) relays(targets []*snapshot.Target) []*snapshot.Target {
	units := map[string]int{}
	for _, t := range targets {
		for _, node := range c.holders(t.Address) {
			units[node]++
		}
	}
	found := []*snapshot.Target{}
	for _, other := range c.others {
		if units[other.node] > 0 {
			found = append(found, other.relay)
		}
	}
	return found
}

// otherNode is a node that takes over calls.
type otherNode struct {
	node  string
	relay *snapshot.Target
}

// otherNodes returns the nodes that respond and take over calls.
func (c *Controller) otherNodes() []otherNode {
	found := []otherNode{}
	for _, member := range c.members.Members() {
		address := c.relayAddress(member)
		if address == "" {
			continue
		}
		found = append(found, otherNode{member.Name, &snapshot.Target{
			Address: address, DataCentre: member.DataCentre, Units: relayUnits, Connections: relayUnits, IsRelay: true,
			Local: member.DataCentre == c.options.Self.DataCentre, Counters: c.relayCounters(member.Name),
		}})
	}
	return found
}

func relaysOf(nodes []otherNode) []*snapshot.Target {
	relays := make([]*snapshot.Target, len(nodes))
	for i, node := range nodes {
		relays[i] = node.relay
	}
	return relays
}

// holders returns the nodes with a unit of a target that has fewer units than
// there are nodes.
func (c *Controller) holders(address string) []string {
	ranked := c.ranked[address]
	if ranked == nil {
		ranked = share.Ranked(address, c.counted)
		c.ranked[address] = ranked
	}
	return ranked[:min(c.totals[address], len(ranked))]
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
	counters := c.relayed[node]
	if counters == nil {
		counters = &targets.Counters{}
		c.relayed[node] = counters
	}
	return counters
}
