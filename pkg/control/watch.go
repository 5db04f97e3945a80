package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/internal/wait"
	"github.com/fireflychute/fireflychute/pkg/objectstore"
)

// watchRetryDelay is the pause after a failed watch.
const watchRetryDelay = time.Second

// stepWatch runs the watches while this node holds a watcher lease.
func (c *Controller) stepWatch() {
	watching := c.sync.stopWatch != nil
	holding := c.leases.holdsWatcher
	if holding && !watching {
		ctx, cancel := context.WithCancel(c.ctx)
		c.sync.stopWatch = cancel
		go c.watchManifest(ctx, c.revision())
		go c.watchVMs(ctx, uint64(c.vms.Version))
	}
	if !holding && watching {
		c.sync.stopWatch()
		c.sync.stopWatch = nil
	}
}

// watchManifest follows the manifest until ctx ends. The version only grows, so
// that an answer of an old watch brings nothing back. When the platform no longer
// keeps the version, the manifest is read and the watch goes on from there.
func (c *Controller) watchManifest(ctx context.Context, version uint64) {
	for ctx.Err() == nil {
		objects, next, err := c.nextManifests(ctx, version)
		c.post(func(now time.Time) { c.recordPlatformResult(now, err) })
		if err != nil {
			wait.For(ctx, watchRetryDelay)
			continue
		}
		version = max(version, next)
		if len(objects) == 0 {
			continue
		}
		object := objects[len(objects)-1]
		c.post(func(time.Time) {
			c.sync.announceConfig(object.Version, c.options.Self.Address)
			c.loadBlobs(object)
		})
	}
}

// nextManifests waits for manifests after a version, oldest first, and returns the
// version to go on from.
func (c *Controller) nextManifests(ctx context.Context, version uint64) ([]objectstore.Object, uint64, error) {
	events, next, err := c.options.Store.Watch(ctx, objectstore.KindManifest, version)
	if errors.Is(err, objectstore.ErrHistoryGone) {
		ctx, cancel := context.WithTimeout(ctx, platformCallTimeout)
		defer cancel()
		return c.options.Store.List(ctx, objectstore.KindManifest)
	}
	objects := make([]objectstore.Object, 0, len(events))
	for _, event := range events {
		objects = append(objects, event.Object)
	}
	return objects, next, err
}

// watchVMs follows the list of VMs until ctx ends.
func (c *Controller) watchVMs(ctx context.Context, version uint64) {
	for ctx.Err() == nil {
		list, next, err := c.options.Store.VMs(ctx, version)
		c.post(func(now time.Time) {
			c.recordPlatformResult(now, err)
			if err == nil {
				c.acceptVMs(now, list)
			}
		})
		if err != nil {
			wait.For(ctx, watchRetryDelay)
			continue
		}
		version = max(version, next)
	}
}
