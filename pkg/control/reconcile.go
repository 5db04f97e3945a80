package control

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"strconv"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/membership"
	"github.com/fireflychute/fireflychute/pkg/objectstore"
	"github.com/fireflychute/fireflychute/pkg/operator"
)

const (
	// blobCollectionInterval is how often unused specs are looked for. A node that is behind can
	// fetch the specs of an older manifest for at least this time.
	blobCollectionInterval = 10 * time.Minute
	// blobCollectionTimeout bounds one collection.
	blobCollectionTimeout = 30 * time.Second
	// maxBlobsPerCollection bounds the writes of one collection.
	maxBlobsPerCollection = 100
)

// storedStatus is a status as the platform has it.
type storedStatus[T any] struct {
	status  T
	version uint64
	writing bool
}

// statuses is what the holder of the controller lease knows of the statuses. It is
// read from the platform at each take-over and after each failed write.
type statuses struct {
	epoch       uint64
	loaded      bool
	loading     bool
	rollouts    map[string]*storedStatus[api.RolloutStatus]
	dataCentres map[string]*storedStatus[api.DataCentreStatus]
	fleet       storedStatus[api.FleetStatus]
}

// reconcile does the controller's work if this node holds the lease.
func (c *Controller) reconcile(now time.Time) {
	epoch, isController := c.controllerEpoch(now)
	if !isController || c.set == nil {
		c.statuses = statuses{}
		return
	}
	if c.statuses.epoch != epoch {
		c.statuses = statuses{epoch: epoch}
	}
	if !c.statuses.loaded {
		c.loadStatuses()
		return
	}
	c.analyseFleet(now)
	c.stepRollouts(now)
	c.stepDataCentres(now)
	c.stepFleetStatus(now)
	c.collectBlobs(now)
}

// loadStatuses reads all statuses. Writes that follow are conditional on the
// versions read here, which fences a holder whose lease lapsed.
func (c *Controller) loadStatuses() {
	if c.statuses.loading {
		return
	}
	c.statuses.loading = true
	epoch := c.statuses.epoch
	c.runInBackground(platformCallTimeout, func(ctx context.Context) event {
		fresh, err := readStatuses(ctx, c.options.Store)
		return func(now time.Time) {
			c.recordPlatformResult(now, err)
			if c.statuses.epoch != epoch {
				return
			}
			c.statuses.loading = false
			if err != nil {
				return
			}
			fresh.epoch = epoch
			fresh.loaded = true
			c.statuses = fresh
			c.publishShares(now)
		}
	})
}

func readStatuses(ctx context.Context, store objectstore.Store) (statuses, error) {
	var fresh statuses
	var err error
	fresh.rollouts, err = listStatuses[api.RolloutStatus](ctx, store, objectstore.KindRolloutStatus)
	if err != nil {
		return fresh, err
	}
	fresh.dataCentres, err = listStatuses[api.DataCentreStatus](ctx, store, objectstore.KindDataCentreStatus)
	if err != nil {
		return fresh, err
	}
	fleets, err := listStatuses[api.FleetStatus](ctx, store, objectstore.KindFleetStatus)
	if err != nil {
		return fresh, err
	}
	if fleet := fleets[fleetName]; fleet != nil {
		fresh.fleet = *fleet
	}
	return fresh, nil
}

func listStatuses[T any](ctx context.Context, store objectstore.Store, kind string) (map[string]*storedStatus[T], error) {
	objects, _, err := store.List(ctx, kind)
	if err != nil {
		return nil, err
	}
	found := map[string]*storedStatus[T]{}
	for _, object := range objects {
		entry := &storedStatus[T]{version: object.Version}
		err := json.Unmarshal(object.Value, &entry.status)
		if err != nil {
			return nil, err
		}
		found[object.Name] = entry
	}
	return found, nil
}

// writeStatus stores a status conditionally and calls done after success. After
// any failure the statuses are read again, which also recognises a write whose
// answer was lost.
func writeStatus[T any](c *Controller, kind, name string, entry *storedStatus[T], next T, done func(now time.Time)) {
	value, err := json.Marshal(next)
	if err != nil {
		return
	}
	entry.writing = true
	epoch := c.statuses.epoch
	ifVersion := entry.version
	c.runInBackground(platformCallTimeout, func(ctx context.Context) event {
		version, err := createOrUpdate(ctx, c.options.Store, kind, name, value, ifVersion)
		return func(now time.Time) {
			c.recordPlatformResult(now, ignoreConflict(err))
			entry.writing = false
			if c.statuses.epoch != epoch {
				return
			}
			if err != nil {
				c.statuses.loaded = false
				return
			}
			entry.status = next
			entry.version = version
			c.announceStatus(now, kind, name, version)
			done(now)
		}
	})
}

// announceStatus tells all nodes that a status changed, so that they read it when
// an operator asks.
func (c *Controller) announceStatus(now time.Time, kind, name string, version uint64) {
	c.publishFact(now, membership.Fact{
		Key: prefixStatus + kind + "/" + name, Epoch: c.statuses.epoch, Version: version, Value: []byte(strconv.FormatUint(version, 10)),
	})
}

// newOperationID returns an id for a write.
func newOperationID() string {
	return rand.Text()
}

const fleetName = "nodes"

// stepFleetStatus reports where the configuration is in force.
func (c *Controller) stepFleetStatus(now time.Time) {
	entry := &c.statuses.fleet
	next := c.fleetStatus(now)
	if entry.writing || equalFleetStatus(entry.status, next) {
		return
	}
	next.Operation = newOperationID()
	writeStatus(c, objectstore.KindFleetStatus, fleetName, entry, next, func(time.Time) {})
}

// collectBlobs deletes specs that nothing refers to any more.
func (c *Controller) collectBlobs(now time.Time) {
	if now.Sub(c.blobsCollectedAt) < blobCollectionInterval {
		return
	}
	c.blobsCollectedAt = now
	before := c.unusedBlobs
	c.runInBackground(blobCollectionTimeout, func(ctx context.Context) event {
		collection, err := operator.CollectBlobs(ctx, c.options.Store, before, maxBlobsPerCollection)
		return func(now time.Time) {
			c.recordPlatformResult(now, ignoreConflict(err))
			c.unusedBlobs = collection.Unused
		}
	})
}
