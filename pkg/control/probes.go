package control

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/targets"
)

// probeTimeout bounds one health check.
const probeTimeout = time.Second

// services returns the specs of the present configuration.
func (c *Controller) services() map[string]api.ServiceSpec {
	if c.set == nil {
		return nil
	}
	return c.set.Services
}

// collectTargetFacts reads the counters of traffic and steps the ramps.
func (c *Controller) collectTargetFacts(now time.Time) {
	facts := c.registry.Collect(now, c.members.CountedNodes(now), c.services())
	c.publishTargetFacts(now, facts)
}

func (c *Controller) startProbes(now time.Time) {
	if !c.members.Joined() {
		// Before it has joined, other nodes do not count this one in the budget.
		return
	}
	for _, probe := range c.registry.DueProbes(now, c.members.CountedNodes(now), c.services()) {
		c.counters.probes.Add(1)
		c.probesByTarget[probe.Address]++
		c.runInBackground(probeTimeout, func(ctx context.Context) event {
			result := c.probe(ctx, probe.Address)
			return func(now time.Time) { c.publishTargetFacts(now, c.registry.ApplyProbeResult(now, result)) }
		})
	}
}

// probe makes one health check.
func (c *Controller) probe(ctx context.Context, address string) targets.ProbeResult {
	failed := targets.ProbeResult{Address: address, Failed: true}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/health", nil)
	if err != nil {
		return failed
	}
	request.Close = true
	response, err := c.options.ProbeTransport.RoundTrip(request)
	if err != nil {
		failed.Refused = isConnectionRefused(err)
		return failed
	}
	_ = response.Body.Close()
	report, err := targets.ParseReport(response.Header.Get(targets.HeaderLoad))
	if err != nil {
		return failed
	}
	return targets.ProbeResult{Address: address, Report: report}
}

// isConnectionRefused tells that the target refused the connection. Other failures to connect
// can be this node's own, for example too many open files.
func isConnectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
