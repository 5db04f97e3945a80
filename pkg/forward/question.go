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
	// probeTimeout is when a load question counts as failed.
	probeTimeout = 400 * time.Millisecond
	// stragglerWait is how long further answers are awaited after the first.
	stragglerWait = 8 * time.Millisecond
	// maxProbeBytes bounds the body of an answer to a load question.
	maxProbeBytes = 64 << 10
)

// errProbeTooLarge is the failure of a load question whose answer does not end within bounds.
var errProbeTooLarge = errors.New("answer to a load question is too long")

// probeResult is a target's answer to a load question.
type probeResult struct {
	target     *topology.Target
	candidate  placement.Candidate
	healthy    bool
	ok         bool
	receivedAt time.Time
}

// load returns the answer for the record of the request.
func (h *probeResult) load() Load {
	c := &h.candidate
	return Load{
		Target: h.target.ID, Running: c.Running, Waiting: c.Waiting, Slots: c.Slots, Slowdown: c.Slowdown,
		Cold: c.Cold, Healthy: h.healthy,
	}
}

// probeTargets asks targets for their load at the same time. It returns when all have
// answered, or a short time after the first one that says it is well.
func (c *call) probeTargets(targets []*topology.Target) []probeResult {
	if len(targets) == 0 {
		return nil
	}
	results := make(chan probeResult, len(targets))
	for _, target := range targets {
		go func() {
			results <- c.handler.probe(c.service.HealthPath, c.service.WarmupRate, c.topology.FleetSize, target)
		}()
	}
	var collected []probeResult
	var stragglerTimeout <-chan time.Time
	for range targets {
		select {
		case result := <-results:
			if !result.ok {
				continue
			}
			c.routeState.model.ObserveLoad(result.candidate)
			collected = append(collected, result)
			if stragglerTimeout == nil && result.healthy {
				stragglerTimeout = time.After(stragglerWait)
			}
		case <-stragglerTimeout:
			return collected
		case <-c.ctx.Done():
			return collected
		}
	}
	return collected
}

// probe asks one target for its load and notes what it learns. It goes on after
// the request was sent elsewhere, since its failure says something of the target.
func (h *Handler) probe(path string, warmupRate float64, fleet int, target *topology.Target) probeResult {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	report, err := h.fetchLoadReport(ctx, path, target)
	now := time.Now()
	failed := err != nil
	h.options.Observer.Probed(failed)
	if failed {
		if !errors.Is(err, transport.ErrConnectionLimit) {
			target.Observed.RecordUnreachable(now)
		}
		return probeResult{target: target}
	}
	if report.Target != "" && report.Target != target.ID {
		target.Observed.MarkLeaving()
		return probeResult{target: target}
	}
	h.applyAvailability(target, report.Availability)
	interval := warmup.Interval(warmupRate, fleet)
	target.Observed.SetWarmup(now, report.WarmupLeft, interval, withRandom(h, randomFraction))
	target.Observed.RecordReachable()
	view := target.Observed.View(now)
	if h.isDisabled(experiment.FailureMemory) {
		view.FailureRate = 0
	}
	return probeResult{
		target: target, ok: true, healthy: report.Healthy, receivedAt: now,
		candidate: placement.Candidate{
			Running: report.Running, Waiting: report.Waiting, Slots: max(report.Slots, target.Slots),
			Slowdown: max(report.Slowdown, 0.1), Cold: view.Cold, Local: target.Local || h.isDisabled(experiment.Locality), FailureRate: view.FailureRate,
		},
	}
}

func (h *Handler) fetchLoadReport(ctx context.Context, path string, target *topology.Target) (LoadReport, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target.Address+path, nil)
	if err != nil {
		return LoadReport{}, err
	}
	response, err := h.options.Client.Do(request, target.Connections)
	if err != nil {
		return LoadReport{}, err
	}
	defer response.Body.Close()
	read, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeBytes+1))
	if err != nil {
		return LoadReport{}, err
	}
	if read > maxProbeBytes {
		return LoadReport{}, errProbeTooLarge
	}
	return h.options.Protocol.ReadLoadReport(response.StatusCode, response.Header), nil
}

// applyAvailability keeps to what a target says about further requests of this node. Requests that are
// running there go on.
func (h *Handler) applyAvailability(target *topology.Target, availability Availability) {
	switch {
	case availability.Leaving:
		if target.Observed.MarkLeaving() {
			h.options.Client.Remove(target.Address)
			h.options.Observer.AvailabilityChanged(target.ID, availability)
		}
	case availability.RetryAfter > 0:
		if target.Observed.BackOff(time.Now(), availability.RetryAfter) {
			h.options.Observer.AvailabilityChanged(target.ID, availability)
		}
	}
}
