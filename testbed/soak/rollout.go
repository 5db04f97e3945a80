package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/fireflychute/fireflychute/testbed/instance"
)

const (
	// rolloutTime is the time that an order gives for the move.
	rolloutTime = 6 * time.Second
	// decisionTime is how long after all faults ended a rollout may be undecided.
	decisionTime = 15 * time.Second
	newInstances = 2
)

// rollout is the one rollout of a soak, if it draws one.
type rollout struct {
	ordered, bad bool
}

// order starts targets of another version and asks for the move to it. Half of the
// versions fail every request.
func (r *rollout) order(s *soak) {
	if r.ordered {
		return
	}
	r.ordered, r.bad = true, s.random.IntN(2) == 0
	s.note("rollout of v2, bad: %v", r.bad)
	for i := range newInstances {
		fresh, err := s.world.startInstance(fmt.Sprintf("new-%d", i))
		if err != nil {
			s.callers.fail("stand-in does not start: %v", err)
			return
		}
		if r.bad {
			fresh.SetFaults(instance.Faults{Status: http.StatusInternalServerError})
		}
		s.world.register(fresh, "v2", "ready")
	}
	s.world.store.Put("rollouts", "s", map[string]any{"service": "s", "target-version": "v2", "duration-s": rolloutTime.Seconds()})
}

// check fails where a rollout stays undecided, and where a version that fails every
// request is reported complete. A good one may be rolled back: faults of its targets
// look like faults of the version.
func (r *rollout) check(s *soak) {
	if !r.ordered {
		return
	}
	state := r.state(s)
	for end := time.Now().Add(rolloutTime + decisionTime); time.Now().Before(end) && !decided(state); time.Sleep(50 * time.Millisecond) {
		state = r.state(s)
	}
	switch {
	case !decided(state):
		s.callers.fail("the rollout is %q %v after all faults ended", state, rolloutTime+decisionTime)
	case r.bad && state == "complete":
		s.callers.fail("a version that fails every request is reported complete")
	}
}

func decided(state string) bool { return state == "complete" || state == "rolled_back" }

func (r *rollout) state(s *soak) string {
	object, _ := s.world.store.Get("rollouts", "s")
	var status struct {
		State string `json:"state"`
	}
	err := json.Unmarshal(object.Status, &status)
	if err != nil {
		return "not reported"
	}
	return status.State
}
