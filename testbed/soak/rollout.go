package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/fireflychute/fireflychute/testbed/instance"
)

const (
	// rolloutDuration is the time that an order gives for the move.
	rolloutDuration = 6 * time.Second
	// maxDecisionTime is how long after all faults ended a rollout may be undecided.
	maxDecisionTime = 15 * time.Second
	newInstances    = 2
)

// rollout is the one rollout of a soak, if it draws one.
type rollout struct {
	started, isBad bool
}

// start starts targets of another version and asks for the move to it. Half of the
// versions fail every request.
func (r *rollout) start(s *soak) {
	if r.started {
		return
	}
	r.started, r.isBad = true, s.rng.IntN(2) == 0
	s.logFault("rollout of v2, bad: %v", r.isBad)
	for i := range newInstances {
		added, err := s.cluster.startInstance(fmt.Sprintf("new-%d", i))
		if err != nil {
			s.load.addFailure("stand-in does not start: %v", err)
			return
		}
		if r.isBad {
			added.SetFaults(instance.Faults{Status: http.StatusInternalServerError})
		}
		s.cluster.register(added, "v2", "ready")
	}
	s.cluster.store.Put("rollouts", "s", map[string]any{"service": "s", "target-version": "v2", "duration-s": rolloutDuration.Seconds()})
}

// check fails where a rollout stays undecided, and where a version that fails every
// request is reported complete. A good one may be rolled back: faults of its targets
// look like faults of the version.
func (r *rollout) check(s *soak) {
	if !r.started {
		return
	}
	state := r.state(s)
	for deadline := time.Now().Add(rolloutDuration + maxDecisionTime); time.Now().Before(deadline) && !isFinal(state); time.Sleep(50 * time.Millisecond) {
		state = r.state(s)
	}
	switch {
	case !isFinal(state):
		s.load.addFailure("the rollout is %q %v after all faults ended", state, rolloutDuration+maxDecisionTime)
	case r.isBad && state == "complete":
		s.load.addFailure("a version that fails every request is reported complete")
	}
}

func isFinal(state string) bool { return state == "complete" || state == "rolled_back" }

func (r *rollout) state(s *soak) string {
	object, _ := s.cluster.store.Get("rollouts", "s")
	var status struct {
		State string `json:"state"`
	}
	err := json.Unmarshal(object.Status, &status)
	if err != nil {
		return "not reported"
	}
	return status.State
}
