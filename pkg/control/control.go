package control

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/configuration"
	"github.com/fireflychute/fireflychute/pkg/platform"
	"github.com/fireflychute/fireflychute/pkg/snapshot"
	"github.com/fireflychute/fireflychute/pkg/target"
)

// retryDelay is the pause after a failed call on the platform.
const retryDelay = 500 * time.Millisecond

// Controller owns the control state.
type Controller struct {
	dataCentre string
	store      platform.Store
	published  *atomic.Pointer[snapshot.Snapshot]
	log        zerolog.Logger

	sets     chan *configuration.Set
	vms      chan api.VMList
	set      *configuration.Set
	list     api.VMList
	counters map[string]*target.Counters
}

// New returns a controller for a node in dataCentre.
func New(dataCentre string, store platform.Store, published *atomic.Pointer[snapshot.Snapshot], log zerolog.Logger) *Controller {
	return &Controller{
		dataCentre: dataCentre, store: store, published: published, log: log,
		sets: make(chan *configuration.Set), vms: make(chan api.VMList),
		counters: map[string]*target.Counters{},
	}
}

// Run owns the state until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	go c.follow(ctx, c.followManifest)
	go c.follow(ctx, c.followVMs)
	for {
		select {
		case set := <-c.sets:
			if c.set == nil || set.Revision > c.set.Revision {
				c.set = set
				c.log.Info().Uint64("revision", set.Revision).Msg("configuration applied")
			}
		case list := <-c.vms:
			c.list = list
		case <-ctx.Done():
			return nil
		}
		c.publish()
	}
}

func (c *Controller) publish() {
	if c.set == nil {
		return
	}
	c.published.Store(buildSnapshot(c.set, c.list, c.dataCentre, c.countersOf))
}

func (c *Controller) countersOf(address string) *target.Counters {
	counters, ok := c.counters[address]
	if !ok {
		counters = &target.Counters{}
		c.counters[address] = counters
	}
	return counters
}

// follow repeats one watch until ctx ends. The watch returns the version to go on from.
func (c *Controller) follow(ctx context.Context, watch func(context.Context, uint64) (uint64, error)) {
	version := uint64(0)
	for ctx.Err() == nil {
		next, err := watch(ctx, version)
		if err != nil {
			pause(ctx, retryDelay)
			continue
		}
		version = next
	}
}

func (c *Controller) followManifest(ctx context.Context, after uint64) (uint64, error) {
	events, version, err := c.store.Watch(ctx, platform.KindManifest, after)
	if err != nil || len(events) == 0 {
		return version, err
	}
	object := events[len(events)-1].Object
	set, err := c.load(ctx, object)
	if err != nil {
		return 0, err
	}
	send(ctx, c.sets, set)
	return version, nil
}

func (c *Controller) load(ctx context.Context, object platform.Object) (*configuration.Set, error) {
	var manifest api.Manifest
	err := json.Unmarshal(object.Value, &manifest)
	if err != nil {
		return nil, errors.Wrap(err, "decode manifest")
	}
	objects := []api.Object{}
	for key, entry := range manifest.Entries {
		blob, err := c.store.Get(ctx, platform.KindBlob, entry.Digest)
		if err != nil {
			return nil, err
		}
		kind, name := splitKey(key)
		objects = append(objects, api.Object{Kind: kind, Name: name, Generation: entry.Generation, Spec: blob.Value})
	}
	return configuration.Build(object.Version, objects)
}

func (c *Controller) followVMs(ctx context.Context, after uint64) (uint64, error) {
	list, err := c.store.VMs(ctx, after)
	if err != nil {
		return after, err
	}
	if uint64(list.Version) > after {
		send(ctx, c.vms, list)
	}
	return uint64(list.Version), nil
}

func send[T any](ctx context.Context, to chan<- T, value T) {
	select {
	case to <- value:
	case <-ctx.Done():
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
