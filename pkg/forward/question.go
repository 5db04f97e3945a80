package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/fireflychute/fireflychute/pkg/experiment"
	"github.com/fireflychute/fireflychute/pkg/placement"
	"github.com/fireflychute/fireflychute/pkg/topology"
	"github.com/fireflychute/fireflychute/pkg/transport"
	"github.com/fireflychute/fireflychute/pkg/warmup"
)

const (
	// questionTimeout is when a load question counts as failed.
	questionTimeout = 400 * time.Millisecond
	// straggleTime is how long further answers are awaited after the first.
	straggleTime = 8 * time.Millisecond
	// maxHealthBytes bounds the body of an answer to a load question.
	maxHealthBytes = 64 << 10
)

// errLongHealth is the failure of a load question whose answer does not end within bounds.
var errLongHealth = errors.New("answer to a load question is too long")

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

// ask asks targets for their load at the same time. It returns when all have
// answered, or a short time after the first one that says it is well.
func (c *call) ask(targets []*topology.Target) []heard {
	if len(targets) == 0 {
		return nil
	}
	answers := make(chan heard, len(targets))
	for _, target := range targets {
		go func() {
			answers <- c.handler.question(c.service.HealthPath, c.service.WarmupRate, c.topology.FleetSize, target)
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
			c.learned.model.Heard(answer.candidate)
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
			target.Observed.RecordUnreachable(now)
		}
		return heard{target: target}
	}
	if health.Target != "" && health.Target != target.ID {
		target.Observed.MarkLeaving()
		return heard{target: target}
	}
	h.heed(target, health.Notice)
	interval := warmup.Interval(warmupRate, fleet)
	target.Observed.SetWarmup(now, health.WarmupLeft, interval, withRandom(h, randomFraction))
	target.Observed.RecordReachable()
	view := target.Observed.View(now)
	if h.without(experiment.FailureMemory) {
		view.FailureRate = 0
	}
	return heard{
		target: target, ok: true, healthy: health.Healthy, at: now,
		candidate: placement.Candidate{
			Running: health.Running, Waiting: health.Waiting, Slots: max(health.Slots, target.Slots),
			Slowness: max(health.Slowness, 0.1), Cold: view.Cold, Local: target.Local || h.without(experiment.Locality), FailureRate: view.FailureRate,
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
	read, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxHealthBytes+1))
	if err != nil {
		return Health{}, err
	}
	if read > maxHealthBytes {
		return Health{}, errLongHealth
	}
	return h.options.Protocol.ReadHealth(answer.StatusCode, answer.Header), nil
}

// heed keeps to what a target says about further requests of this node. Requests that are
// running there go on.
func (h *Handler) heed(target *topology.Target, notice Notice) {
	switch {
	case notice.Leaving:
		if target.Observed.MarkLeaving() {
			h.options.Client.Remove(target.Address)
			h.options.Observer.Noticed(target.ID, notice)
		}
	case notice.RetryAfter > 0:
		if target.Observed.BackOff(time.Now(), notice.RetryAfter) {
			h.options.Observer.Noticed(target.ID, notice)
		}
	}
}
