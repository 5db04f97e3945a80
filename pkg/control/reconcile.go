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
	// blobCollectionInterval is the interval at which unreferenced blobs are collected. A node that
	// is behind can fetch the blobs of an older manifest for at least this time.
	blobCollectionInterval = 10 * time.Minute
	// blobCollectionTimeout limits the time of one collection.
	blobCollectionTimeout = 30 * time.Second
	// maxBlobsPerCollection limits the writes of one collection.
	maxBlobsPerCollection = 100
)

// storedStatus is a status as it is stored on the platform.
type storedStatus[T any] struct {
	status  T
	version uint64
	writing bool
}

// statuses is the cache of the stored statuses on the leader. It is read from the platform when a
// node becomes leader and after each failed write.
type statuses struct {
	epoch       uint64
	loaded      bool
	loading     bool
	rollouts    map[string]*storedStatus[api.RolloutStatus]
	dataCentres map[string]*storedStatus[api.DataCentreStatus]
	fleet       storedStatus[api.FleetStatus]
}

// reconcile runs the leader's work if this node holds the controller lease.
func (c *Controller) reconcile(now time.Time) {
	epoch, isLeader := c.leaderEpoch(now)
	if !isLeader || c.set == nil {
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

// loadStatuses reads all statuses. Later writes are conditional on the versions read at this point,
// which fences a leader whose lease has lapsed.
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

// writeStatus stores a status conditionally and calls done on success. After any failure the
// statuses are read again, which also detects a write that succeeded but whose response was lost.
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

// announceStatus announces a changed status to all nodes, so that they read it again when an
// operator requests it.
func (c *Controller) announceStatus(now time.Time, kind, name string, version uint64) {
	c.publishFact(now, membership.Fact{
		Key: prefixStatus + kind + "/" + name, Epoch: c.statuses.epoch, Version: version, Value: []byte(strconv.FormatUint(version, 10)),
	})
}

// newOperationID returns a unique id for a write.
func newOperationID() string {
	return rand.Text()
}

const fleetName = "nodes"

// stepFleetStatus stores the fleet status, which reports the nodes that applied the configuration.
func (c *Controller) stepFleetStatus(now time.Time) {
	entry := &c.statuses.fleet
	next := c.fleetStatus(now)
	if entry.writing || equalFleetStatus(entry.status, next) {
		return
	}
	next.Operation = newOperationID()
	writeStatus(c, objectstore.KindFleetStatus, fleetName, entry, next, func(time.Time) {})
}

// collectBlobs deletes blobs that are no longer referenced.
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
