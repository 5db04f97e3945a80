package control

import (
	"context"
	"time"

	"github.com/fireflychute/fireflychute/pkg/platform"
)

// watchRetryTime is the pause after a failed watch.
const watchRetryTime = time.Second

// stepWatch runs the watches while this node holds a watcher lease.
func (c *Controller) stepWatch() {
	watching := c.sync.stopWatch != nil
	holding := c.leases.watching
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
// that an answer of an old watch brings nothing back.
func (c *Controller) watchManifest(ctx context.Context, version uint64) {
	for ctx.Err() == nil {
		events, next, err := c.options.Store.Watch(ctx, platform.KindManifest, version)
		c.post(func(now time.Time) { c.heardPlatform(now, err) })
		if err != nil {
			pause(ctx, watchRetryTime)
			continue
		}
		version = max(version, next)
		if len(events) == 0 {
			continue
		}
		object := events[len(events)-1].Object
		c.post(func(time.Time) {
			c.sync.announced(object.Version, c.options.Self.Address)
			c.loadBlobs(object)
		})
	}
}

// watchVMs follows the list of VMs until ctx ends.
func (c *Controller) watchVMs(ctx context.Context, version uint64) {
	for ctx.Err() == nil {
		list, err := c.options.Store.VMs(ctx, version)
		c.post(func(now time.Time) {
			c.heardPlatform(now, err)
			if err == nil {
				c.acceptVMs(now, list)
			}
		})
		if err != nil {
			pause(ctx, watchRetryTime)
			continue
		}
		version = max(version, uint64(list.Version))
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
