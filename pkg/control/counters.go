package control

import "sync/atomic"

// Counters holds the event counts of the control goroutine that are exported as metrics.
type Counters struct {
	platformCalls    atomic.Uint64
	platformFailures atomic.Uint64
	healthChecks     atomic.Uint64
	snapshots        atomic.Uint64
	blocks           atomic.Uint64
}

// PlatformCalls returns the number of calls to the platform, including watches.
func (c *Counters) PlatformCalls() uint64 { return c.platformCalls.Load() }

// PlatformFailures returns the number of failed calls to the platform.
func (c *Counters) PlatformFailures() uint64 { return c.platformFailures.Load() }

// HealthChecks returns the number of health checks sent.
func (c *Counters) HealthChecks() uint64 { return c.healthChecks.Load() }

// Snapshots returns the number of snapshots published.
func (c *Counters) Snapshots() uint64 { return c.snapshots.Load() }

// Blocks returns how often this node blocked a version on the evidence of its own canary analysis.
func (c *Counters) Blocks() uint64 { return c.blocks.Load() }

// Counters returns the counters of the control goroutine.
func (c *Controller) Counters() *Counters { return &c.counters }
