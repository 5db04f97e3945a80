package forward

import (
	"math/rand/v2"
	"time"

	"github.com/fireflychute/fireflychute/pkg/experiment"
	"github.com/fireflychute/fireflychute/pkg/placement"
)

// pollInterval is the mean interval at which the first waiting request probes for capacity that
// requests of other nodes have released.
const pollInterval = 40 * time.Millisecond

// selectOrWait selects a target. If all targets that respond are full or ask this node to back
// off, it waits as long as the request can still meet its objective. A request that misses its
// objective anyway, or that has no target, is given up at once.
func (c *call) selectOrWait() (*selectedTarget, string) {
	list := &c.serviceState.waitlist
	var waiter *placement.Waiter
	from := roundFirst
	for {
		selected, reason := c.selectTarget(from)
		maxWait := c.routeState.model.MaxWait(c.timeBudget(time.Now()))
		if selected != nil || !c.canWait(reason, maxWait) {
			if waiter != nil {
				list.Leave(waiter)
			}
			return selected, reason
		}
		if waiter == nil {
			waiter = list.Join(c.route.Priority)
		}
		c.waitForSlot(list, waiter, maxWait)
		from = roundAll
	}
}

// canWait reports whether a request without a target may get one while it can still meet its
// objective.
func (c *call) canWait(reason string, maxWait time.Duration) bool {
	switch {
	case c.handler.isDisabled(experiment.Waiting):
		return false
	case reason == ReasonNoRoom:
		return maxWait > 0
	case reason == ReasonBackingOff:
		return maxWait > c.backOff
	default:
		return false
	}
}

// waitForSlot waits until the request should try to select a target again.
func (c *call) waitForSlot(list *placement.Waitlist, waiter *placement.Waiter, maxWait time.Duration) {
	poll := pollInterval/2 + withRandom(c.handler, func(random *rand.Rand) time.Duration {
		return time.Duration(random.Int64N(int64(pollInterval)))
	})
	expired := time.NewTimer(maxWait)
	defer expired.Stop()
	for {
		timer := time.NewTimer(poll)
		select {
		case <-waiter.Ready():
			timer.Stop()
			return
		case <-expired.C:
			timer.Stop()
			return
		case <-c.ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
			if list.IsFirst(waiter) {
				return
			}
		}
	}
}
