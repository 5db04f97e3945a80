package control

import (
	"fmt"
	"slices"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/membership"
)

const conditionInForce = "InForce"

var stateNames = map[membership.State]string{
	membership.Alive:   "Alive",
	membership.Suspect: "Suspect",
	membership.Failed:  "Failed",
	membership.Left:    "Left",
}

// fleetStatus describes the nodes and whether each applied the configuration.
func (c *Controller) fleetStatus(now time.Time) api.FleetStatus {
	status := api.FleetStatus{Epoch: int(c.statuses.epoch), Revision: int(c.revision()), Nodes: c.nodeStatuses()}
	applied, behind, unreachable := 0, 0, 0
	counted := c.members.CountedNodes(now)
	for _, node := range status.Nodes {
		switch {
		case !slices.Contains(counted, node.Name):
			// It left, or the platform's list confirms that it is gone.
		case node.State != stateNames[membership.Alive]:
			unreachable++
		case node.Revision < status.Revision:
			behind++
		default:
			applied++
		}
	}
	condition := api.Condition{
		Type: conditionInForce, Status: api.ConditionStatusTrue, Reason: "AllNodesApplied",
		Message: fmt.Sprintf("%d nodes applied it, %d have not, %d cannot be reached", applied, behind, unreachable),
	}
	if behind > 0 {
		condition.Status, condition.Reason = api.ConditionStatusFalse, "NodesBehind"
	} else if unreachable > 0 {
		condition.Status, condition.Reason = api.ConditionStatusUnknown, "NodesUnreachable"
	}
	condition.LastTransitionTime = c.transitionTime(now, condition)
	status.Conditions = []api.Condition{condition}
	return status
}

// transitionTime keeps the time of the last status when the status is the same.
func (c *Controller) transitionTime(now time.Time, condition api.Condition) time.Time {
	for _, old := range c.statuses.fleet.status.Conditions {
		if old.Type == condition.Type && old.Status == condition.Status {
			return old.LastTransitionTime
		}
	}
	return now.UTC()
}

func (c *Controller) nodeStatuses() []api.NodeStatus {
	nodes := []api.NodeStatus{}
	for _, member := range c.members.Members() {
		nodes = append(nodes, api.NodeStatus{
			Name: member.Name, Address: member.Address, DataCentre: member.DataCentre,
			State: stateNames[member.State], Revision: int(member.Revision),
		})
	}
	return nodes
}

// equalFleetStatus tells that two statuses say the same, whoever wrote them.
func equalFleetStatus(a, b api.FleetStatus) bool {
	if a.Epoch != b.Epoch || a.Revision != b.Revision || len(a.Nodes) != len(b.Nodes) || len(a.Conditions) != len(b.Conditions) {
		return false
	}
	for i := range a.Nodes {
		if a.Nodes[i] != b.Nodes[i] {
			return false
		}
	}
	for i := range a.Conditions {
		if a.Conditions[i].Status != b.Conditions[i].Status || a.Conditions[i].Message != b.Conditions[i].Message {
			return false
		}
	}
	return true
}
