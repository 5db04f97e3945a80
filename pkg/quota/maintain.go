package quota

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// MaintainInterval is the time between two calls of Maintain.
	MaintainInterval = time.Second
	// verifyInterval is the time without a response after which an owner sends a load probe to a
	// limited target, to notice that the limit has ended.
	verifyInterval = maxWait
	// bucketRetention is how long an unused bucket is kept.
	bucketRetention = time.Minute
)

// Maintain checks the owners before this node, so that it takes over if they are gone, and returns
// the targets to which this node should send a load probe: it grants their units, and they have not
// responded to it for a while. It is called every MaintainInterval.
func (a *Allocator) Maintain(ctx context.Context) []Key {
	a.dropUnused()
	a.checkOwners(ctx, a.table.Limited())
	var unverified []Key
	for _, limit := range a.table.UnheardSince(a.now().Add(-verifyInterval)) {
		if _, isGrantor := a.grantorRank(a.fleet.Load(), limit.Key); !isGrantor {
			continue
		}
		// A limit near zero would hide its own end.
		if ownerRate(limit.Rate, 0)*verifyInterval.Seconds() < 1 || a.TryOwn(limit.Key) {
			unverified = append(unverified, limit.Key)
		}
	}
	return unverified
}

// checkOwners asks the owners before this node in any of the limits whether they are there.
func (a *Allocator) checkOwners(ctx context.Context, limits []Limit) {
	f := a.fleet.Load()
	earlier := map[string]Limit{}
	for _, limit := range limits {
		owners := f.owners(limit.Key)
		for _, owner := range owners[:max(0, slices.Index(owners, a.self))] {
			earlier[owner] = limit
		}
	}
	var checks sync.WaitGroup
	for owner, limit := range earlier {
		checks.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			_, err := a.askOwner(ctx, Node{owner, f.addresses[owner]}, Ask{Limit: limit, CheckOnly: true, Relayed: true})
			if err == nil {
				a.trust(owner)
			}
		})
	}
	checks.Wait()
}

func (a *Allocator) trust(node string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.suspects, node)
}

// dropUnused drops buckets that nobody has used for bucketRetention, and what has expired.
func (a *Allocator) dropUnused() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	maps.DeleteFunc(a.buckets, func(_ Key, bucket *Bucket) bool { return now.Sub(bucket.updatedAt) > bucketRetention })
	maps.DeleteFunc(a.retryAt, func(_ Key, until time.Time) bool { return now.After(until) })
	maps.DeleteFunc(a.suspects, func(_ string, until time.Time) bool { return now.After(until) })
}
