package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/internal/wait"
	"github.com/fireflychute/fireflychute/pkg/objectstore"
)

// watchRetryDelay is the delay before a failed watch is retried.
const watchRetryDelay = time.Second

// stepWatch starts the watches when this node acquires a watcher lease, and stops them when it no
// longer holds one.
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

// watchManifest watches the manifest until ctx ends. The version only increases, so that a response
// of an earlier watch cannot restore an old state. When the platform no longer has the history
// after the version, the manifest is read and the watch continues from its version.
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

// nextManifests waits for manifests that are newer than version. It returns them oldest first, with
// the version from which to continue.
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

// watchVMs watches the VM list until ctx ends.
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
