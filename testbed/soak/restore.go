package soak

import (
	"context"
	"sync"
	"time"

	"github.com/fireflychute/fireflychute/internal/wait"
	"github.com/fireflychute/fireflychute/testbed/metastore"
)

const (
	// copyInterval is the time between two copies of the store, maxCopies how many are kept.
	copyInterval = 400 * time.Millisecond
	maxCopies    = 20
	// rewriteTime is how long after a restore the operator and the instances have written again what the
	// copy lacks.
	rewriteTime = 1500 * time.Millisecond
	// silenceTime is how long the store keeps the entry of an instance that writes nothing.
	silenceTime = 4500 * time.Millisecond
)

// storeCopies holds copies of the store of the last seconds.
type storeCopies struct {
	mu     sync.Mutex
	copies []metastore.Copy
}

// run makes copies until the context ends.
func (c *storeCopies) run(ctx context.Context, store *metastore.Store) {
	for ctx.Err() == nil {
		c.mu.Lock()
		c.copies = append(c.copies, store.Copy())
		if len(c.copies) > maxCopies {
			c.copies = c.copies[1:]
		}
		c.mu.Unlock()
		wait.For(ctx, copyInterval)
	}
}

// pick returns the copy with the index, counted from the newest one, or the oldest one.
func (c *storeCopies) pick(index int) (metastore.Copy, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.copies) == 0 {
		return metastore.Copy{}, false
	}
	return c.copies[max(0, len(c.copies)-1-index)], true
}

// restoreStore takes the store away for a moment and brings it back from an older copy. What the operator and
// the instances wrote is written again; entries of instances that have left end after some silence.
func (s *soak) restoreStore() {
	from, exists := s.copies.pick(s.rng.IntN(maxCopies))
	away := 100*time.Millisecond + time.Duration(s.rng.Int64N(int64(2*time.Second)))
	if !exists {
		return
	}
	s.logFault("store is away for %v and comes back from an older copy", away)
	for _, n := range s.cluster.nodes {
		n.suspendTimeBounds(away + rewriteTime)
	}
	s.cluster.server.SetFaults(metastore.Faults{Down: true})
	rewriteAfter := time.Duration(s.rng.Int64N(int64(rewriteTime)))
	s.pending.Go(func() {
		time.Sleep(away)
		s.cluster.store.Restore(from)
		s.cluster.server.SetFaults(metastore.Faults{})
		time.Sleep(rewriteAfter)
		s.rewrite()
		time.Sleep(silenceTime)
		s.cluster.removeSilentEntries()
	})
}

// rewrite writes again what the operator and the instances wrote.
func (s *soak) rewrite() {
	c := s.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeConfiguration()
	for i, entry := range c.entries {
		c.store.Put("servers", i.ID(), i.Entry(c.instancePaths[i].Address(), entry.version, entry.state))
	}
	if s.rollout.isOrdered.Load() {
		s.rollout.order(s)
	}
}

// removeSilentEntries removes the entries of instances that have left.
func (c *cluster) removeSilentEntries() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range c.instances {
		if _, registered := c.entries[i]; !registered {
			c.store.Remove("servers", i.ID())
		}
	}
}
