package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/fireflychute/fireflychute/pkg/experiment"
	"github.com/fireflychute/fireflychute/pkg/placement"
	"github.com/fireflychute/fireflychute/pkg/quota"
	"github.com/fireflychute/fireflychute/pkg/topology"
	"github.com/fireflychute/fireflychute/pkg/transport"
)

const (
	// probeTimeout is the time after which a load probe fails.
	probeTimeout = 400 * time.Millisecond
	// stragglerWait is how long to wait for further probe results after the first healthy one.
	stragglerWait = 8 * time.Millisecond
	// maxProbeBytes limits the response body of a load probe.
	maxProbeBytes = 64 << 10
)

// errProbeTooLarge is the failure of a load probe whose response body exceeds maxProbeBytes.
var errProbeTooLarge = errors.New("response body of a load probe exceeds 64 KiB")

// probeResult is the result of a load probe. The load is valid only if ok is set.
type probeResult struct {
	target     *topology.Target
	candidate  placement.Candidate
	healthy    bool
	ok         bool
	receivedAt time.Time
}

// load returns the reported load for the record of the request.
func (r *probeResult) load() Load {
	c := &r.candidate
	return Load{
		Target: r.target.ID, Running: c.Running, Waiting: c.Waiting, Slots: c.Slots, Slowdown: c.Slowdown,
		Cold: c.Cold, Healthy: r.healthy,
	}
}

// probeTargets probes the load of targets in parallel. It returns when all probes have ended, or
// a short time after the first healthy target responded.
func (c *call) probeTargets(targets []*topology.Target) []probeResult {
	if len(targets) == 0 {
		return nil
	}
	results := make(chan probeResult, len(targets))
	for _, target := range targets {
		go func() {
			results <- c.handler.probe(c.service.HealthPath, target)
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

// probe asks one target for its load and updates what this node observed of the target. It
// continues after the request was sent elsewhere, since a failed probe is relevant to later
// requests.
func (h *Handler) probe(path string, target *topology.Target) probeResult {
	_, limited := h.options.Limits.Get(keyOf(target))
	if limited && !h.options.Units.TryOwn(keyOf(target)) {
		return probeResult{target: target}
	}
	return h.sendProbe(path, target, limited)
}

// sendProbe sends a load probe. A unit of the target's limit was taken for it if there is one.
func (h *Handler) sendProbe(path string, target *topology.Target, limited bool) probeResult {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	sentAt := time.Now()
	report, err := h.fetchLoadReport(ctx, path, target)
	now := time.Now()
	failed := err != nil
	h.options.Observer.Probed(Probe{Failed: failed, Limited: limited})
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
	h.applyLimit(target, report.Limit, sentAt)
	target.Observed.SetWarmup(now, report.WarmupLeft)
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

// applyAvailability applies what a target states about further requests of this node. Requests in
// progress there continue.
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

// applyLimit records what a response of a target says about its limit. sentAt is when the request
// or load probe was sent.
func (h *Handler) applyLimit(target *topology.Target, said quota.Statement, sentAt time.Time) {
	if said.Kind == quota.Malformed {
		h.options.Observer.LimitIgnored(target.ID, said)
		return
	}
	h.options.Limits.Observe(keyOf(target), said, sentAt, time.Now())
}

// keyOf returns the key under which the limit of a target is known.
func keyOf(target *topology.Target) quota.Key {
	return quota.Key{Target: target.ID, Incarnation: target.Incarnation}
}

// VerifyLimits sends a load probe to each of the targets, to notice that they have no limit any
// more. A unit of each limit was taken for it.
func (h *Handler) VerifyLimits(keys []quota.Key) {
	current := h.options.Published.Load()
	if current == nil {
		return
	}
	now := time.Now()
	for _, service := range current.Services {
		for _, target := range slices.Concat(service.Main.All(), service.Canary.All()) {
			if slices.Contains(keys, keyOf(target)) && target.Observed.Accepts(now) {
				go h.sendProbe(service.HealthPath, target, true)
			}
		}
	}
}
