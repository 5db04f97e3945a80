package forward

import (
	"time"

	"github.com/fireflychute/fireflychute/pkg/experiment"
	"github.com/fireflychute/fireflychute/pkg/placement"
	"github.com/fireflychute/fireflychute/pkg/topology"
	"github.com/fireflychute/fireflychute/pkg/warmup"
)

// choice is a target that was chosen for a send.
type choice struct {
	heard
	canary   bool
	cost     float64
	fit      placement.Fit
	asked    int
	answered int
}

// place chooses a target, from a round of questions on. Without one it returns the reason.
// What a version on trial has no room for goes to the one in use.
func (c *call) place(from round) (*choice, string) {
	pool, canary := c.draw()
	chosen, reason := c.placeIn(pool, canary, from)
	if chosen == nil && canary && c.ctx.Err() == nil {
		return c.placeIn(&c.service.Main, false, from)
	}
	return chosen, reason
}

// placeIn asks a few targets, and further ones while none of those is well suited.
func (c *call) placeIn(pool *topology.Pool, canary bool, from round) (*choice, string) {
	var answers []heard
	asked := 0
	pressed := c.state.pressure.IsHigh() || !c.state.waiting.IsEmpty()
	for at := firstRound(from, pressed); at <= roundAll; at++ {
		if at > lastRound(pressed, len(answers)) {
			break
		}
		targets := c.sample(pool, at, answers)
		asked += len(targets)
		answers = append(answers, c.ask(targets)...)
		if c.ctx.Err() != nil {
			return nil, ReasonTimeout
		}
		if c.isEnough(answers, at) {
			break
		}
	}
	if asked == 0 {
		return nil, c.whyNone(pool)
	}
	chosen, reason := c.choose(answers)
	if chosen == nil {
		c.consider(answers)
		return nil, reason
	}
	chosen.canary, chosen.asked, chosen.answered = canary, asked, len(answers)
	c.record.Considered = nil
	return chosen, ""
}

// whyNone returns why no target of a pool may be asked, and notes when the first one takes
// requests again that only wants none yet.
func (c *call) whyNone(pool *topology.Pool) string {
	c.backOff = 0
	now := time.Now()
	for _, target := range pool.All() {
		view := target.Observed.View(now)
		if view.Leaving || view.BackOff == 0 || !c.route.Allows(target) || c.wasTried(target) {
			continue
		}
		if c.backOff == 0 || view.BackOff < c.backOff {
			c.backOff = view.BackOff
		}
	}
	if c.backOff == 0 {
		return ReasonNoTarget
	}
	return ReasonBackingOff
}

// isEnough tells whether no further round of questions is worth its time.
func (c *call) isEnough(answers []heard, at round) bool {
	best := c.best(answers, true)
	return best != nil && best.fit == placement.InTime && (at > roundFirst || placement.IsGood(best.cost))
}

// consider keeps what was heard before a refusal for the record of the request.
func (c *call) consider(answers []heard) {
	c.record.Considered = c.record.Considered[:0]
	for i := range answers {
		c.record.Considered = append(c.record.Considered, answers[i].load())
	}
}

// choose returns the best of the targets that answered. Targets that say they are
// ill are used only when no other has room.
func (c *call) choose(answers []heard) (*choice, string) {
	if len(answers) == 0 {
		return nil, ReasonNotAnswering
	}
	interval := warmup.Interval(c.service.WarmupRate, c.topology.FleetSize)
	for _, healthy := range []bool{true, false} {
		best := c.best(answers, healthy)
		for best != nil {
			if best.target.Observed.Acquire(time.Now(), interval) {
				return best, ""
			}
			answers = without(answers, best.target)
			best = c.best(answers, healthy)
		}
	}
	return nil, ReasonNoRoom
}

// best returns the candidate with the least weight of those that can serve the request.
func (c *call) best(answers []heard, healthy bool) *choice {
	var best *choice
	reserve := c.service.Reserve(c.route.Priority)
	need := c.need(time.Now())
	model := c.learned.model
	for i := range answers {
		a := &answers[i]
		if a.healthy != healthy || !placement.HasRoom(a.candidate, placement.Limit(a.candidate.Slots, reserve)) {
			continue
		}
		fit := model.Fit(a.candidate, need)
		if !c.accepts(a.candidate, need, fit) {
			continue
		}
		cost := model.Weigh(a.candidate)
		if best == nil || cost < best.cost {
			best = &choice{heard: *a, cost: cost, fit: fit}
		}
	}
	return best
}

// accepts tells whether the request goes to a candidate.
func (c *call) accepts(candidate placement.Candidate, need placement.Need, fit placement.Fit) bool {
	model := c.learned.model
	if c.handler.without(experiment.Yielding) {
		return fit == placement.InTime || fit == placement.Late && model.Patience(need) <= 0 && candidate.Running < candidate.Slots
	}
	return model.Accepts(candidate, need, !c.state.waiting.IsEmpty())
}

func without(answers []heard, target *topology.Target) []heard {
	var left []heard
	for _, a := range answers {
		if a.target != target {
			left = append(left, a)
		}
	}
	return left
}
