package forward

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/fireflychute/fireflychute/pkg/placement"
	"github.com/fireflychute/fireflychute/pkg/topology"
	"github.com/fireflychute/fireflychute/pkg/transport"
	"github.com/fireflychute/fireflychute/pkg/warmup"
)

const (
	// questions is how many targets are asked for their load before a send.
	questions = 5
	// questionTimeout is when a load question counts as failed.
	questionTimeout = 400 * time.Millisecond
	// straggleTime is how long further answers are awaited after the first.
	straggleTime = 8 * time.Millisecond
	// rounds is how many times targets are asked before a request is refused.
	rounds = 2
	// maxHealthBytes bounds the body of an answer to a load question.
	maxHealthBytes = 64 << 10
)

func randomFraction(random *rand.Rand) float64 { return random.Float64() }

// heard is a target's answer to a load question.
type heard struct {
	target    *topology.Target
	candidate placement.Candidate
	healthy   bool
	ok        bool
	at        time.Time
}

// load returns the answer for the record of the request.
func (h *heard) load() Load {
	c := &h.candidate
	return Load{
		Target: h.target.ID, Running: c.Running, Waiting: c.Waiting, Slots: c.Slots, Slowness: c.Slowness,
		Cold: c.Cold, Healthy: h.healthy,
	}
}

// choice is a target that was chosen for a send.
type choice struct {
	heard
	canary   bool
	cost     float64
	asked    int
	answered int
}

// place chooses a target. Without one it returns the reason. What a version on trial has
// no room for goes to the one in use.
func (c *call) place() (*choice, string) {
	pool, canary := c.draw()
	chosen, reason := c.placeIn(pool, canary)
	if chosen == nil && canary && c.ctx.Err() == nil {
		c.widened = false
		return c.placeIn(c.service.Main, false)
	}
	return chosen, reason
}

func (c *call) placeIn(pool []*topology.Target, canary bool) (*choice, string) {
	reason := ReasonNoTarget
	for range rounds {
		asked := c.sample(pool)
		if len(asked) == 0 {
			return nil, reason
		}
		answers := c.ask(asked)
		if c.ctx.Err() != nil {
			return nil, ReasonTimeout
		}
		chosen, why := c.choose(answers)
		if chosen != nil {
			chosen.canary, chosen.asked, chosen.answered = canary, len(asked), len(answers)
			c.record.Considered = nil
			return chosen, ""
		}
		reason = why
		c.widened = true
		c.record.Considered = c.record.Considered[:0]
		for i := range answers {
			c.record.Considered = append(c.record.Considered, answers[i].load())
		}
	}
	return nil, reason
}

// draw returns the targets of the version to which the request goes. When a
// version that is rolled out has no target for the request, the one in use takes it.
func (c *call) draw() ([]*topology.Target, bool) {
	canary := false
	pool := withRandom(c.handler, func(random *rand.Rand) []*topology.Target {
		var drawn []*topology.Target
		drawn, canary = c.service.Draw(random)
		return drawn
	})
	if canary && len(c.tried) > 0 {
		// A request that failed once is not sent to a version on trial again.
		return c.service.Main, false
	}
	return pool, canary
}

// sample returns the targets to ask: random ones that may take the request.
func (c *call) sample(pool []*topology.Target) []*topology.Target {
	now := time.Now()
	preferred := make([]*topology.Target, 0, len(pool))
	var others, held []*topology.Target
	for _, target := range pool {
		view := target.Observed.View(now)
		switch {
		case view.Leaving || !c.route.Allows(target) || c.wasTried(target) || !target.Observed.MayTake(now):
		case view.Held:
			held = append(held, target)
		case target.Preferred:
			preferred = append(preferred, target)
		default:
			others = append(others, target)
		}
	}
	usable := preferred
	if len(preferred) < questions || c.widened {
		usable = append(usable, others...)
	}
	if len(usable) == 0 {
		usable = held
	}
	return withRandom(c.handler, func(random *rand.Rand) []*topology.Target {
		return placement.SampleNear(random, usable, questions, func(t *topology.Target) bool { return t.Local })
	})
}

func (c *call) wasTried(target *topology.Target) bool {
	for _, tried := range c.tried {
		if tried.Observed == target.Observed {
			return true
		}
	}
	return false
}

// ask asks targets for their load at the same time. It returns when all have
// answered, or a short time after the first one that says it is well.
func (c *call) ask(targets []*topology.Target) []heard {
	answers := make(chan heard, len(targets))
	for _, target := range targets {
		go func() {
			answers <- c.handler.question(c.service.HealthPath, c.service.WarmupRate, c.topology.Fleet, target)
		}()
	}
	var collected []heard
	var straggle <-chan time.Time
	for range targets {
		select {
		case answer := <-answers:
			if !answer.ok {
				continue
			}
			collected = append(collected, answer)
			if straggle == nil && answer.healthy {
				straggle = time.After(straggleTime)
			}
		case <-straggle:
			return collected
		case <-c.ctx.Done():
			return collected
		}
	}
	return collected
}

// question asks one target for its load and notes what it learns. It goes on after
// the request was sent elsewhere, since its failure says something of the target.
func (h *Handler) question(path string, warmupRate float64, fleet int, target *topology.Target) heard {
	ctx, cancel := context.WithTimeout(context.Background(), questionTimeout)
	defer cancel()
	health, err := h.askHealth(ctx, path, target)
	now := time.Now()
	failed := err != nil
	h.options.Observer.Asked(failed)
	if failed {
		if !errors.Is(err, transport.ErrConnectionLimit) {
			target.Observed.Missed(now)
		}
		return heard{target: target}
	}
	if health.Target != "" && health.Target != target.ID {
		target.Observed.Leave()
		return heard{target: target}
	}
	interval := warmup.Interval(warmupRate, fleet)
	target.Observed.Warmup(now, health.WarmupLeft, interval, withRandom(h, randomFraction))
	target.Observed.Answered()
	view := target.Observed.View(now)
	return heard{
		target: target, ok: true, healthy: health.Healthy, at: now,
		candidate: placement.Candidate{
			Running: health.Running, Waiting: health.Waiting, Slots: max(health.Slots, target.Slots),
			Slowness: max(health.Slowness, 0.1), Cold: view.Cold, Local: target.Local, FailureRate: view.FailureRate,
		},
	}
}

func (h *Handler) askHealth(ctx context.Context, path string, target *topology.Target) (Health, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target.Address+path, nil)
	if err != nil {
		return Health{}, err
	}
	answer, err := h.options.Client.Do(request, target.Connections)
	if err != nil {
		return Health{}, err
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(answer.Body, maxHealthBytes))
	if err != nil {
		return Health{}, err
	}
	return h.options.Protocol.ReadHealth(answer.StatusCode, answer.Header), nil
}

// choose returns the best of the targets that answered. Targets that say they are
// ill are used only when no other has room.
func (c *call) choose(answers []heard) (*choice, string) {
	if len(answers) == 0 {
		return nil, ReasonNotAnswering
	}
	reserve := c.service.Reserve(c.route.Priority)
	interval := warmup.Interval(c.service.WarmupRate, c.topology.Fleet)
	for _, healthy := range []bool{true, false} {
		best := bestOf(answers, healthy, reserve)
		for best != nil {
			if best.target.Observed.Take(time.Now(), interval) {
				return best, ""
			}
			answers = without(answers, best.target)
			best = bestOf(answers, healthy, reserve)
		}
	}
	return nil, ReasonNoRoom
}

func bestOf(answers []heard, healthy bool, reserve int) *choice {
	var best *choice
	for i := range answers {
		a := &answers[i]
		if a.healthy != healthy || !placement.HasRoom(a.candidate, placement.Limit(a.candidate.Slots, reserve)) {
			continue
		}
		cost := placement.Cost(a.candidate)
		if best == nil || cost < best.cost {
			best = &choice{heard: *a, cost: cost}
		}
	}
	return best
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
