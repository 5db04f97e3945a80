package control

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/configuration"
	"github.com/fireflychute/fireflychute/pkg/membership"
	"github.com/fireflychute/fireflychute/pkg/operator"
)

// versionProblems refuses to delete a rollout while targets of the version that it
// keeps without traffic are live: without the rollout all versions receive calls,
// and a version that was taken back would do so again.
func (b *Backend) versionProblems(current, proposed *configuration.Set) []operator.CapacityProblem {
	problems := []operator.CapacityProblem{}
	if current == nil {
		return problems
	}
	for name, spec := range current.Rollouts {
		_, declared := proposed.Rollouts[name]
		_, serviceDeclared := proposed.Services[spec.Service]
		if declared || !serviceDeclared || hasRollout(proposed, spec.Service) {
			continue
		}
		idle := b.versionWithoutTraffic(name, spec)
		live := b.countLiveTargets(spec.Service, idle)
		if live == 0 {
			continue
		}
		problems = append(problems, operator.CapacityProblem{
			Service: spec.Service, Blocking: true,
			Reason: fmt.Sprintf("without rollout %s, %d live targets of version %s would receive calls; retire them first", name, live, idle),
		})
	}
	sort.Slice(problems, func(i, j int) bool { return problems[i].Reason < problems[j].Reason })
	return problems
}

func hasRollout(set *configuration.Set, service string) bool {
	for _, spec := range set.Rollouts {
		if spec.Service == service {
			return true
		}
	}
	return false
}

// versionWithoutTraffic returns the version that a rollout keeps without traffic at its end:
// the old one when it is completed, else the new one.
func (b *Backend) versionWithoutTraffic(name string, spec api.RolloutSpec) string {
	var status api.RolloutStatus
	value, found := b.Status(api.KindRollout, name)
	if found && json.Unmarshal(value, &status) == nil && status.Phase == api.PhaseCompleted {
		return spec.From
	}
	return spec.To
}

func (b *Backend) countLiveTargets(service, version string) int {
	live := 0
	for _, entry := range b.controller.view.Load().entries {
		if entry.Service == service && entry.Version == version && !entry.Leaving {
			live++
		}
	}
	return live
}

// nodeProblems refuses to take out every data centre that has nodes: all nodes
// would be not ready, and the platform's balancer would have no one to send to.
func (b *Backend) nodeProblems(current, proposed *configuration.Set) []operator.CapacityProblem {
	nodes := b.controller.view.Load().nodes
	if len(nodes) == 0 || current == nil || !hasAliveNodeIn(current, nodes) || hasAliveNodeIn(proposed, nodes) {
		return nil
	}
	return []operator.CapacityProblem{{Reason: "no node would be left in a data centre that is in", Blocking: true}}
}

func hasAliveNodeIn(set *configuration.Set, nodes []api.NodeStatus) bool {
	for _, node := range nodes {
		alive := node.State == stateNames[membership.Alive]
		if alive && set.DataCentres[node.DataCentre].State != api.DataCentreStateOut {
			return true
		}
	}
	return false
}
