package proxy

import (
	"time"

	"github.com/fireflychute/fireflychute/pkg/admission"
	"github.com/fireflychute/fireflychute/pkg/snapshot"
	"github.com/fireflychute/fireflychute/pkg/telemetry"
)

// pickVersion draws a version; a call that was handed over comes with one.
func (c *call) pickVersion() *snapshot.Version {
	name := c.request.Header.Get(headerVersion)
	if !c.relayed || name == "" {
		return pickVersion(c.route.Service, c.random)
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
	if c.gate.waiting.Load() > 0 || !c.choose() {
		waiting := c.handler.now()
		refusal := c.gate.wait(c.ctx, c.admission(), c.choose)
		c.metrics.RecordDuration(telemetry.QueueDuration, c.handler.now().Sub(waiting))
		if refusal != nil && !c.overflow(refusal) {
			return c.giveUp(refusal.RetryAfter, string(refusal.Reason))
		}
	}
	if c.chosen.target == nil {
		return c.giveUp(time.Second, reasonNoTarget)
	}
	return true
}

// usable tells whether new calls may be served by a snapshot.
func usable(view *snapshot.Snapshot, now time.Time) bool {
	return view != nil && view.Revision > 0 && !view.Isolated && view.Validity.Valid(now)
}

// refresh moves the call to the newest snapshot, because a call that waited must
// not be sent by a configuration that is no longer in force. It fails when the
// call would now be treated in another way or must not be served.
func (c *call) refresh() bool {
	view := c.handler.options.Published.Load()
	if !usable(view, c.handler.now()) {
		return false
	}
	if view == c.view && c.version != nil {
		return c.version.Share > 0
	}
	route := view.Match(c.request.Method, c.request.URL.Path)
	if route == nil || route.Service == nil || route.Service.Name != c.route.Service.Name || route.WorkName != c.route.WorkName {
		return false
	}
	c.view = view
	c.route = route
	c.version = c.pickVersion()
	return c.version != nil
}

func (c *call) admission() admission.Request {
	request := admission.Request{
		Kind: c.route.WorkName, Priority: c.route.Work.Priority, KindWeight: c.route.Work.Weight, Deadline: c.deadline,
	}
	if c.caller != nil {
		request.Caller, request.CallerWeight = c.caller.Name, c.caller.Weight
	}
	return request
}
