package proxy

import (
	"time"

	"github.com/fireflychute/fireflychute/pkg/admission"
	"github.com/fireflychute/fireflychute/pkg/snapshot"
	"github.com/fireflychute/fireflychute/pkg/telemetry"
)

// selectVersion draws a version; a call that was handed over comes with one.
func (c *call) selectVersion() *snapshot.Version {
	name := c.request.Header.Get(headerVersion)
	if !c.relayed || name == "" {
		return sampleVersion(c.route.Service, c.rng)
	}
	for i := range c.route.Service.Versions {
		version := &c.route.Service.Versions[i]
		if version.Name == name {
			return version
		}
	}
	return nil
}

// admit reserves a unit, waiting for one if needed.
func (c *call) admit() bool {
	if c.gate.waiting.Load() > 0 || !c.chooseTarget() {
		queued := c.handler.now()
		rejection := c.gate.wait(c.ctx, c.admissionRequest(), c.chooseTarget)
		c.metrics.RecordDuration(telemetry.QueueDuration, c.handler.now().Sub(queued))
		if rejection != nil && !c.relayOverflow(rejection) {
			return c.abort(rejection.RetryAfter, string(rejection.Reason))
		}
	}
	if c.chosen.target == nil {
		return c.abort(time.Second, reasonNoTarget)
	}
	return true
}

// isUsable tells whether new calls may be served by a snapshot.
func isUsable(current *snapshot.Snapshot, now time.Time) bool {
	return current != nil && current.Revision > 0 && !current.Isolated && current.Validity.Valid(now)
}

// refreshSnapshot moves the call to the newest snapshot, because a call that waited must
// not be sent by a configuration that is no longer in force. It fails when the
// call would now be treated in another way or must not be served.
func (c *call) refreshSnapshot() bool {
	current := c.handler.options.Published.Load()
	if !isUsable(current, c.handler.now()) {
		return false
	}
	if current == c.snapshot && c.version != nil {
		return c.version.Share > 0
	}
	route := current.Match(c.request.Method, c.request.URL.Path)
	if route == nil || route.Service == nil || route.Service.Name != c.route.Service.Name || route.WorkKindName != c.route.WorkKindName {
		return false
	}
	c.snapshot = current
	c.route = route
	c.version = c.selectVersion()
	return c.version != nil
}

func (c *call) admissionRequest() admission.Request {
	request := admission.Request{
		Kind: c.route.WorkKindName, Priority: c.route.WorkKind.Priority, KindWeight: c.route.WorkKind.Weight, Deadline: c.deadline,
	}
	if c.caller != nil {
		request.Caller, request.CallerWeight = c.caller.Name, c.caller.Weight
	}
	return request
}
