package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fireflychute/fireflychute/internal/wait"
	"github.com/fireflychute/fireflychute/pkg/replica"
	"github.com/fireflychute/fireflychute/pkg/revision"
)

const (
	// probeInterval is the mean pause between two probes of the store by a watcher. Without
	// probes, a watch that gets no response fails only at the end of its timeout.
	probeInterval = 250 * time.Millisecond
	// probeTimeout is above the response time of a slow store.
	probeTimeout = 500 * time.Millisecond
)

// probeStore probes the store regularly until the context ends. While probes fail, other
// nodes replace this one as a source. A probe also applies a configuration that is newer
// than the replica's.
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
	objects, asOf, err := c.options.Store.ListStale(call, replica.Configurations)
	if ctx.Err() == nil {
		c.do(ctx, func() { c.recordProbe(time.Now(), objects, asOf, err) })
	}
}

// shouldProbe reports whether the node is a designated watcher whose last call to the store
// did not fail.
func (c *controller) shouldProbe(ctx context.Context) bool {
	allowed := false
	c.do(ctx, func() { allowed = c.watch.designated && !c.watch.failing })
	return allowed
}

// recordProbe applies the result of a probe. Unlike a failed watch, a failed probe does not
// make missing entries lapse: a store that is merely slow has really removed them.
func (c *controller) recordProbe(now time.Time, objects []replica.Object, asOf revision.Revision, err error) {
	c.stats.storeCalls.Add(1)
	if err != nil {
		c.stats.storeCallsFailed.Add(1)
		if !c.watch.probeFailing {
			c.watch.probeFailing = true
			c.log.Warn().Err(err).Msg("store probe failed; node reports itself as unusable as a source")
		}
		return
	}
	c.storeSeenAt = now
	if c.watch.probeFailing {
		c.watch.probeFailing = false
		c.log.Info().Msg("store probe succeeded again")
	}
	c.noteEra(asOf)
	for _, object := range objects {
		c.dirty = c.replica.Put(now, replica.Configurations, object) || c.dirty
	}
}
