package main

import (
	"encoding/json"
	"sync/atomic"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/configuration"
	"github.com/fireflychute/fireflychute/pkg/operator"
	"github.com/fireflychute/fireflychute/pkg/snapshot"
)

// snapshotBackend answers the resource API from the published snapshot alone,
// until the control goroutine implements operator.Backend.
type snapshotBackend struct {
	published *atomic.Pointer[snapshot.Snapshot]
}

var _ operator.Backend = snapshotBackend{}

func (b snapshotBackend) Configuration() operator.Configuration {
	view := b.published.Load()
	if view == nil {
		return operator.Configuration{}
	}
	return operator.Configuration{Revision: view.Revision}
}

func (b snapshotBackend) Readiness() operator.Readiness {
	view := b.published.Load()
	switch {
	case view == nil || view.Revision == 0:
		return operator.Readiness{Reason: "the node has no configuration yet"}
	case view.Isolated:
		return operator.Readiness{Reason: "the node is isolated from the platform and its peers"}
	default:
		return operator.Readiness{Ready: true}
	}
}

func (b snapshotBackend) Status(string, string) (json.RawMessage, bool) { return nil, false }

func (b snapshotBackend) Fleet() (api.FleetStatus, bool) { return api.FleetStatus{}, false }

func (b snapshotBackend) Nodes() []api.NodeStatus { return nil }

func (b snapshotBackend) Explain(string) (operator.Explanation, bool) {
	return operator.Explanation{}, false
}

func (b snapshotBackend) Targets() []operator.TargetLoad { return nil }

func (b snapshotBackend) CapacityProblems(_, _ *configuration.Set) []operator.CapacityProblem {
	return nil
}

func (b snapshotBackend) Changed() <-chan struct{} { return nil }
