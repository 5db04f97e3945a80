package soak

import (
	"slices"
	"testing"
	"time"

	"github.com/fireflychute/fireflychute/testbed/instance"
)

// The bound of the users' platform for a cold instance: in any second, warmupFactor times the rate
// that it tolerates, and coldSlack requests more.
const (
	warmupFactor = 1.5
	coldSlack    = 5
)

// Guards against a cold instance that gets more than it tolerates from all nodes together, because
// each node has kept its turn while other instances had room, and all use it when these are gone.
func TestColdInstanceGetsNoBurstOfKeptTurns(t *testing.T) {
	const coldTime = 8 * time.Second
	l := newLoadedCluster(t, size{nodes: 40, instances: 4}, 200*time.Millisecond)
	cold := l.cluster.instances[0]
	cold.SetCold(coldTime)
	coldFrom, coldUntil := time.Now(), time.Now().Add(coldTime)
	time.Sleep(5 * time.Second)
	for _, other := range l.cluster.instances[1:] {
		other.SetFaults(instance.Faults{Reject: true})
	}
	time.Sleep(time.Until(coldUntil))
	runs := slices.DeleteFunc(cold.Runs(), func(run instance.Run) bool {
		return run.StartedAt.Before(coldFrom) || run.StartedAt.After(coldUntil)
	})
	worst, first := 0, 0
	var worstAt time.Duration
	for last, run := range runs {
		for run.StartedAt.Sub(runs[first].StartedAt) > time.Second {
			first++
		}
		if last-first+1 > worst {
			worst, worstAt = last-first+1, run.StartedAt.Sub(coldFrom)
		}
	}
	allowed := warmupFactor*warmupRate + coldSlack
	t.Logf("%d requests in all, %d in the worst second, until %v after the instance became cold, allowed %v", len(runs), worst, worstAt, allowed)
	if float64(worst) > allowed {
		t.Errorf("a cold instance received %d requests in one second, allowed %v", worst, allowed)
	}
}
