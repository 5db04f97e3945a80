package forward

import (
	"math/rand/v2"
	"time"

	"github.com/fireflychute/fireflychute/pkg/experiment"
	"github.com/fireflychute/fireflychute/pkg/placement"
)

// pollInterval is how often the first waiting request looks for room that other nodes'
// requests left.
const pollInterval = 40 * time.Millisecond

// selectOrWait chooses a target. Where all that answer are full it waits as long as the
// answer can still be in time. A request that will be late, or for which no target is
// there, is given up at once.
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

// canWait tells whether a request without a target may have one while it can be in time.
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

// waitForSlot waits until the request is to look for room again.
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
