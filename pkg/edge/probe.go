package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fireflychute/fireflychute/internal/wait"
	"github.com/fireflychute/fireflychute/pkg/replica"
)

const (
	// probeInterval is the pause between two looks at whether the store answers a watcher. A
	// watch that is not answered says so only when its waiting time is over.
	probeInterval = 250 * time.Millisecond
	// probeTimeout is how long the store may take. It is above what a slow store takes.
	probeTimeout = 500 * time.Millisecond
)

// probeStore looks regularly whether the store answers, until the context ends. While it
// does not, other nodes take this one's place as a source. A configuration that is newer
// than the known one comes into force by it, too.
func (c *controller) probeStore(ctx context.Context) {
	for ctx.Err() == nil {
		if c.shouldProbe(ctx) {
			c.probeOnce(ctx)
		}
		wait.For(ctx, probeInterval/2+rand.N(probeInterval))
	}
}

func (c *controller) probeOnce(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	objects, err := c.options.Store.ListStale(call, replica.Configurations)
	if ctx.Err() == nil {
		c.do(ctx, func() { c.recordProbe(time.Now(), objects, err) })
	}
}

// shouldProbe tells whether the node is a source of others and its own watches say nothing
// of the store being away.
func (c *controller) shouldProbe(ctx context.Context) bool {
	allowed := false
	c.do(ctx, func() { allowed = c.watch.designated && !c.watch.failing })
	return allowed
}

// recordProbe notes the result of a probe. Its failure is no reason to keep entries that are
// missing: a store that only answers late has removed them all the same.
func (c *controller) recordProbe(now time.Time, objects []replica.Object, err error) {
	c.stats.storeCalls.Add(1)
	if err != nil {
		c.stats.storeCallsFailed.Add(1)
		if !c.watch.probeFailing {
			c.watch.probeFailing = true
			c.log.Warn().Err(err).Msg("store does not answer a probe")
		}
		return
	}
	c.storeSeenAt = now
	if c.watch.probeFailing {
		c.watch.probeFailing = false
		c.log.Info().Msg("store answers probes again")
	}
	for _, object := range objects {
		c.dirty = c.replica.Put(now, replica.Configurations, object) || c.dirty
	}
}
