package control

import "sync/atomic"

// Counters counts what the control goroutine did. They are read by metrics.
type Counters struct {
	platformCalls    atomic.Uint64
	platformFailures atomic.Uint64
	probes           atomic.Uint64
	snapshots        atomic.Uint64
	blocks           atomic.Uint64
}

// PlatformCalls returns how many calls were made on the platform, watches included.
func (c *Counters) PlatformCalls() uint64 { return c.platformCalls.Load() }

// PlatformFailures returns how many calls on the platform failed.
func (c *Counters) PlatformFailures() uint64 { return c.platformFailures.Load() }

// Probes returns how many probes were made.
func (c *Counters) Probes() uint64 { return c.probes.Load() }

// Snapshots returns how many snapshots were published.
func (c *Counters) Snapshots() uint64 { return c.snapshots.Load() }

// Blocks returns how often this node blocked a version on its own evidence.
func (c *Counters) Blocks() uint64 { return c.blocks.Load() }

// Counters returns the counters of the control goroutine.
func (c *Controller) Counters() *Counters { return &c.counters }
