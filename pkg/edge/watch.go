package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fireflychute/fireflychute/internal/wait"
	"github.com/fireflychute/fireflychute/pkg/catalog"
	"github.com/fireflychute/fireflychute/pkg/objectstore"
	"github.com/fireflychute/fireflychute/pkg/replica"
	"github.com/fireflychute/fireflychute/pkg/revision"
)

const (
	// watchWait is how long a watch waits for a change. A hanging watch is detected only
	// after this time, so it is close to the time limits within which a new configuration or
	// the leaving of a target must take effect.
	watchWait = 2 * time.Second
	// slowWatchWait is the same for kinds without such a limit.
	slowWatchWait = 3 * time.Second
	// watchGrace is how much later than its wait a watch may return before it counts as failed.
	watchGrace  = 700 * time.Millisecond
	listTimeout = 3 * time.Second
	// batchDelay is the pause after a change, so that a series of changes takes few calls.
	batchDelay = 150 * time.Millisecond
	// Limits of the backoff after a failed call.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 1500 * time.Millisecond
	// suspendedPollInterval is how often a suspended watch checks whether it may call the
	// store again.
	suspendedPollInterval = 200 * time.Millisecond
	// perNodeBackoff, times the number of nodes, is the longest backoff of a node that is not
	// a designated watcher, unless maxBackoff is longer: during an outage of the store the
	// load of all nodes' calls must not grow with the fleet.
	perNodeBackoff = 40 * time.Millisecond
	// lapseWindow is how long after a failure of the store a missing entry counts as lapsed,
	// not as removed.
	lapseWindow = 3500 * time.Millisecond
)

// watchState is the state of the node's own watches. It belongs to the control goroutine.
type watchState struct {
	cancel context.CancelFunc
	// failing is true if the last call to the store failed.
	failing bool
	// probeFailing is true if the last probe of the store failed.
	probeFailing bool
	// designated is true if the node ranks among the watchers.
	designated bool
	// lastFailureAt is when a call last failed: a call of this node or, while this node does
	// not reach the store, of one that it follows.
	lastFailureAt time.Time
	// relist holds the kinds that must be read as a whole.
	relist map[replica.Kind]bool
	// waits is the context of the watches that wait for a change; endWaits ends them.
	waits    context.Context
	endWaits context.CancelFunc
}

// startWatching starts a watch of each kind and the probes of the store.
func (c *controller) startWatching(ctx context.Context) {
	ctx, c.watch.cancel = context.WithCancel(ctx)
	c.watch.relist = map[replica.Kind]bool{}
	c.watch.waits, c.watch.endWaits = context.WithCancel(ctx)
	for _, kind := range replica.Kinds() {
		c.watch.relist[kind] = c.replica.IsLoaded(kind) && !c.isCurrent(kind)
	}
	for _, kind := range replica.Kinds() {
		go c.watchKind(ctx, kind)
	}
	go c.probeStore(ctx)
}

func (c *controller) stopWatching() {
	c.watch.cancel()
	c.watch.cancel = nil
	c.watch.probeFailing = false
}

// watchKind keeps one kind up to date until the context ends.
func (c *controller) watchKind(ctx context.Context, kind replica.Kind) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if !c.mayCall(ctx, kind) {
			wait.For(ctx, suspendedPollInterval)
			continue
		}
		changed, err := c.syncKind(ctx, kind)
		switch {
		case err != nil:
			wait.For(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, c.backoffLimit(ctx))
		case changed:
			backoff = minBackoff
			wait.For(ctx, batchDelay)
		default:
			backoff = minBackoff
		}
	}
}

// mayCall reports whether the watch of a kind may call the store. While calls fail, only the
// watch of one kind keeps retrying. A starting node first reads each kind once: with all kinds
// loaded it may follow other nodes instead of watching.
func (c *controller) mayCall(ctx context.Context, kind replica.Kind) bool {
	allowed := false
	c.do(ctx, func() {
		allowed = (!c.watch.failing || kind == replica.Configurations) && (c.hasAllKinds() || !c.replica.IsLoaded(kind))
	})
	return allowed
}

// backoffLimit returns the longest backoff of this node after failed calls.
func (c *controller) backoffLimit(ctx context.Context) time.Duration {
	longest := maxBackoff
	c.do(ctx, func() {
		if !c.watch.designated {
			longest = max(longest, time.Duration(len(c.view.nodes))*perNodeBackoff)
		}
	})
	return longest
}

// syncKind makes one call for a kind: a read if it is not loaded or must be listed again,
// otherwise a watch.
func (c *controller) syncKind(ctx context.Context, kind replica.Kind) (changed bool, err error) {
	var loaded bool
	var from revision.Revision
	waits := ctx
	c.do(ctx, func() {
		loaded = c.replica.IsLoaded(kind) && !c.watch.relist[kind]
		from = c.replica.AsOf(kind)
		if c.watch.waits.Err() != nil {
			c.watch.waits, c.watch.endWaits = context.WithCancel(ctx)
		}
		waits = c.watch.waits
	})
	if !loaded {
		return false, c.readKind(ctx, kind)
	}
	startedAt := time.Now()
	maxWait := watchWaitOf(kind)
	call, cancel := context.WithTimeout(waits, maxWait+watchGrace)
	defer cancel()
	events, asOf, err := c.options.Store.Watch(call, kind, from, maxWait)
	if waits.Err() != nil {
		return false, nil
	}
	if errors.Is(err, objectstore.ErrHistoryGone) {
		c.do(ctx, func() { c.watch.relist[kind] = true })
		c.log.Info().Int("kind", int(kind)).Stringer("from", from).Msg("store no longer has the changes since this revision; listing the kind again")
		return true, nil // a store that cannot serve its own list must not be called without a pause
	}
	c.do(ctx, func() {
		now := time.Now()
		c.recordStoreCall(now, err)
		if err != nil {
			return
		}
		c.noteEra(asOf)
		changed = c.replica.Apply(now, kind, asOf, events, c.mayLapse(now, startedAt))
		c.dirty = c.dirty || changed
	})
	return changed, err
}

// readKind reads a kind as a whole. The first read of a starting node may be slightly stale for
// kinds whose current state arrives soon enough from other nodes or from the watch: a current
// read of every kind by each node would load the store when the whole fleet starts.
func (c *controller) readKind(ctx context.Context, kind replica.Kind) error {
	first := false
	c.do(ctx, func() { first = !c.replica.IsLoaded(kind) })
	switch {
	case !first:
		return c.listKind(ctx, kind)
	case kind == replica.Nodes, kind == replica.Rollouts, kind == replica.Evacuations:
		return c.listStale(ctx, kind)
	default:
		return c.listKind(ctx, kind)
	}
}

// listStale reads a kind from a copy that may be some seconds old. The revision of the newest
// object becomes that of the kind, so that the next watch returns all later changes.
func (c *controller) listStale(ctx context.Context, kind replica.Kind) error {
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	objects, asOf, err := c.options.Store.ListStale(call, kind)
	if ctx.Err() != nil {
		return nil
	}
	c.do(ctx, func() {
		now := time.Now()
		c.recordStoreCall(now, err)
		if err == nil {
			c.noteEra(asOf)
			c.dirty = c.replica.Replace(now, kind, asOf, objects, false) || c.dirty
		}
	})
	return err
}

// listKind reads the current state of a kind as a whole.
func (c *controller) listKind(ctx context.Context, kind replica.Kind) error {
	startedAt := time.Now()
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	objects, asOf, err := c.options.Store.List(call, kind)
	if ctx.Err() != nil {
		return nil
	}
	c.do(ctx, func() {
		now := time.Now()
		c.recordStoreCall(now, err)
		if err != nil {
			return
		}
		c.noteEra(asOf)
		if !c.storeEra.EraAfter(asOf) {
			delete(c.watch.relist, kind)
		}
		c.dirty = c.replica.Replace(now, kind, asOf, objects, c.mayLapse(now, startedAt)) || c.dirty
	})
	return err
}

func watchWaitOf(kind replica.Kind) time.Duration {
	if kind == replica.Nodes || kind == replica.Steps {
		return slowWatchWait
	}
	return watchWait
}

// mayLapse reports whether missing entries may have lapsed because of an outage of the store,
// rather than having been removed.
func (c *controller) mayLapse(now, startedAt time.Time) bool {
	slow := now.Sub(startedAt) > slowWatchWait+watchGrace/2
	return slow || !c.watch.lastFailureAt.IsZero() && now.Sub(c.watch.lastFailureAt) < lapseWindow
}

// isStoreReachable reports whether the node's own watches succeed. If so, failures at another
// node do not indicate an outage of the store.
func (c *controller) isStoreReachable() bool {
	return c.watch.cancel != nil && !c.watch.failing
}

// isStoreUnreachable reports whether neither this node nor any that it follows reaches the
// store.
func (c *controller) isStoreUnreachable() bool {
	if c.isStoreReachable() && !c.watch.probeFailing {
		return false
	}
	return !slices.ContainsFunc(c.view.nodes, func(node catalog.Node) bool {
		return c.followCancels[node.Address] != nil && !c.sourceStates[node.Name].IsUnavailable()
	})
}

// recordStoreCall records the result of a call to the store.
func (c *controller) recordStoreCall(now time.Time, err error) {
	c.stats.storeCalls.Add(1)
	if err != nil {
		c.stats.storeCallsFailed.Add(1)
		c.watch.lastFailureAt = now
		if !c.watch.failing {
			c.watch.failing = true
			c.log.Warn().Err(err).Msg("call to the store failed; retrying with backoff")
		}
		return
	}
	c.storeSeenAt = now
	if c.watch.failing {
		c.watch.failing = false
		c.log.Info().Dur("away", now.Sub(c.watch.lastFailureAt)).Msg("store reachable again")
	}
}
