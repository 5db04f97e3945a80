package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/fireflychute/fireflychute/testbed/instance"
)

const (
	// rolloutDuration is the duration-s of the rollout.
	rolloutDuration = 6 * time.Second
	// maxDecisionTime is how long past its duration a rollout may stay undecided once all faults
	// have ended.
	maxDecisionTime = 15 * time.Second
	newInstances    = 2
)

// rollout is the only rollout of a soak; not every seed starts it.
type rollout struct {
	started, isBad bool
	// isOrdered is set once the order was written.
	isOrdered atomic.Bool
}

// start starts targets of another version and puts a rollout to it into the store. In half of the
// rollouts the new version fails every request.
func (r *rollout) start(s *soak) {
	if r.started {
		return
	}
	r.started, r.isBad = true, s.rng.IntN(2) == 0
	s.logFault("rollout of v2 starts, fails every request: %v", r.isBad)
	for i := range newInstances {
		added, err := s.cluster.startInstance(fmt.Sprintf("new-%d", i))
		if err != nil {
			s.load.addFailure("starting an instance of v2: %v", err)
			return
		}
		if r.isBad {
			added.SetFaults(instance.Faults{Status: http.StatusInternalServerError})
		}
		s.cluster.register(added, "v2", "ready")
	}
	r.isOrdered.Store(true)
	r.order(s)
}

// order writes the order to the store.
func (r *rollout) order(s *soak) {
	s.cluster.store.Put("rollouts", "s", map[string]any{"service": "s", "target-version": "v2", "duration-s": rolloutDuration.Seconds()})
}

// check records a failure if the rollout stays undecided, or if it is reported complete although
// the version fails every request. A good version may be rolled back, because injected faults of
// its targets are indistinguishable from faults of the version.
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
		s.load.addFailure("rollout still in state %q %v after all faults ended", state, rolloutDuration+maxDecisionTime)
	case r.isBad && state == "complete":
		s.load.addFailure("rollout reported complete, but the version fails every request")
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
