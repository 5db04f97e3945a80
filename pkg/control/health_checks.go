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

// healthCheckTimeout limits the time of one health check.
const healthCheckTimeout = time.Second

// services returns the service specs of the current configuration, or nil without one.
func (c *Controller) services() map[string]api.ServiceSpec {
	if c.set == nil {
		return nil
	}
	return c.set.Services
}

// collectTargetFacts reads the traffic counters, advances the ramps and publishes the resulting
// facts.
func (c *Controller) collectTargetFacts(now time.Time) {
	facts := c.registry.Collect(now, c.members.CountedNodes(now), c.services())
	c.publishTargetFacts(now, facts)
}

func (c *Controller) startHealthChecks(now time.Time) {
	if !c.members.Joined() {
		// Until this node has joined, the other nodes do not count it when they divide the
		// measuring budget.
		return
	}
	for _, check := range c.registry.DueHealthChecks(now, c.members.CountedNodes(now), c.services()) {
		c.counters.healthChecks.Add(1)
		c.healthChecksByTarget[check.Address]++
		c.runInBackground(healthCheckTimeout, func(ctx context.Context) event {
			result := c.checkHealth(ctx, check.Address)
			return func(now time.Time) { c.publishTargetFacts(now, c.registry.ApplyHealthCheck(now, result)) }
		})
	}
}

// checkHealth sends one health check and parses the load report in the response.
func (c *Controller) checkHealth(ctx context.Context, address string) targets.HealthCheckResult {
	failed := targets.HealthCheckResult{Address: address, Failed: true}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/health", nil)
	if err != nil {
		return failed
	}
	request.Close = true
	response, err := c.options.HealthCheckTransport.RoundTrip(request)
	if err != nil {
		failed.Refused = isConnectionRefused(err)
		return failed
	}
	_ = response.Body.Close()
	report, err := targets.ParseReport(response.Header.Get(targets.HeaderLoad))
	if err != nil {
		return failed
	}
	return targets.HealthCheckResult{Address: address, Report: report}
}

// isConnectionRefused reports whether the target refused the connection. Other connection errors
// can have their cause on this node, for example too many open files.
func isConnectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
