package control

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/configuration"
	"github.com/fireflychute/fireflychute/pkg/membership"
	"github.com/fireflychute/fireflychute/pkg/message"
	"github.com/fireflychute/fireflychute/pkg/objectstore"
)

// readPlatform reads the manifest and the VM list once.
func (c *Controller) readPlatform(now time.Time) {
	c.sync.platformReadAt = now
	c.sync.readingPlatform = true
	c.runInBackground(platformCallTimeout, func(ctx context.Context) event {
		object, err := c.options.Store.Get(ctx, objectstore.KindManifest, objectstore.ManifestName)
		return func(now time.Time) {
			c.sync.readingPlatform = false
			if errors.Is(err, objectstore.ErrNotFound) {
				c.recordPlatformResult(now, nil)
				return
			}
			c.recordPlatformResult(now, err)
			if err == nil {
				c.sync.announceConfig(object.Version, "")
			}
		}
	})
	c.runInBackground(platformCallTimeout, func(ctx context.Context) event {
		list, _, err := c.options.Store.VMs(ctx, 0)
		return func(now time.Time) {
			c.recordPlatformResult(now, err)
			if err == nil {
				c.acceptVMs(now, list)
			}
		}
	})
}

// fetchConfig fetches the announced revision from a peer, or from the platform when the attempts
// with peers failed.
func (c *Controller) fetchConfig(now time.Time) {
	peer := c.choosePeer(c.sync.config)
	if peer == "" {
		c.loadConfig(now)
		return
	}
	have := c.revision()
	c.runInBackground(peerCallTimeout, func(ctx context.Context) event {
		reply, err := c.options.Peers.Call(ctx, peer, message.Message{ConfigFetch: &message.ConfigFetch{Have: have}})
		return func(now time.Time) {
			c.sync.config.fetching = false
			if err == nil && reply.ConfigDelta != nil {
				c.acceptDelta(now, *reply.ConfigDelta)
			}
		}
	})
}

// choosePeer returns the address of a node to fetch from, or "" for the platform. After the first
// attempt it chooses a random node that has the revision, which spreads the load of a configuration
// change over all nodes.
func (c *Controller) choosePeer(fetch fetchState) string {
	if fetch.usesPlatform() {
		return ""
	}
	if fetch.attempts > 1 {
		return c.randomPeer(fetch.announcedVersion)
	}
	if fetch.announcer == c.options.Self.Address {
		return ""
	}
	return fetch.announcer
}

func (c *Controller) randomPeer(revision uint64) string {
	peers := []string{}
	for _, member := range c.members.Members() {
		if member.Name != c.options.Self.Name && member.State == membership.Alive && member.Revision >= revision {
			peers = append(peers, member.Address)
		}
	}
	if len(peers) == 0 {
		return ""
	}
	return peers[c.options.Random.IntN(len(peers))]
}

// loadConfig reads the manifest and the missing blobs from the platform.
func (c *Controller) loadConfig(time.Time) {
	c.runInBackground(platformCallTimeout, func(ctx context.Context) event {
		object, err := c.options.Store.Get(ctx, objectstore.KindManifest, objectstore.ManifestName)
		return func(now time.Time) {
			c.recordPlatformResult(now, err)
			if err != nil {
				c.sync.config.fetching = false
				return
			}
			c.loadBlobs(object)
		}
	})
}

// loadBlobs reads the blobs of a manifest that this node does not have yet, and applies the
// configuration.
func (c *Controller) loadBlobs(object objectstore.Object) {
	var manifest api.Manifest
	err := json.Unmarshal(object.Value, &manifest)
	if err != nil || object.Version <= c.revision() {
		c.sync.config.fetching = false
		return
	}
	missing := []string{}
	for _, digest := range c.config.Missing(manifest) {
		if c.sync.blobs[digest] == nil {
			missing = append(missing, digest)
		}
	}
	c.runInBackground(platformCallTimeout, func(ctx context.Context) event {
		blobs, err := readBlobs(ctx, c.options.Store, missing)
		return func(now time.Time) {
			c.counters.platformCalls.Add(uint64(len(missing)))
			c.recordPlatformResult(now, err)
			c.sync.config.fetching = false
			maps.Copy(c.sync.blobs, blobs)
			if err != nil {
				return
			}
			set, err := c.config.Accept(object.Version, manifest, c.sync.blobs)
			clear(c.sync.blobs)
			c.applySet(now, set, err, true)
		}
	})
}

// readBlobs reads blobs from the platform. On an error it returns those that were read before it.
func readBlobs(ctx context.Context, store objectstore.Store, digests []string) (map[string][]byte, error) {
	blobs := map[string][]byte{}
	for _, digest := range digests {
		object, err := store.Get(ctx, objectstore.KindBlob, digest)
		if err != nil {
			return blobs, errors.Wrapf(err, "read blob %s", digest)
		}
		blobs[digest] = object.Value
	}
	return blobs, nil
}

func (c *Controller) acceptDelta(now time.Time, delta message.ConfigDelta) {
	set, err := c.config.ApplyDelta(delta)
	c.applySet(now, set, err, false)
}

// applySet applies a configuration that is newer than the current one. With announce, it announces
// the revision to the peers.
func (c *Controller) applySet(now time.Time, set *configuration.Set, err error, announce bool) {
	if err != nil {
		c.options.Log.Warn().Err(err).Msg("configuration rejected; keeping the current revision")
		return
	}
	if set == nil || set.Revision <= c.revision() {
		return
	}
	clear(c.sync.blobs)
	c.resetReturnedDataCentres(now, set)
	c.set = set
	c.dirty = true
	c.members.SetRevision(set.Revision)
	c.sync.announceConfig(set.Revision, "")
	c.options.Log.Info().Uint64("revision", set.Revision).Msg("configuration applied")
	if announce {
		c.publishFact(now, membership.Fact{Key: factConfig, Epoch: set.Revision, Version: firstFactNumber, Value: []byte(c.options.Self.Address)})
	}
}

// configDelta returns the changes since a revision as a reply to a peer.
func (c *Controller) configDelta(have uint64) *message.Message {
	delta := c.config.Delta(have)
	return &message.Message{ConfigDelta: &delta}
}

// Committed applies a change that this node committed for an operator, and announces it. A platform
// that is slow or rejects reads then does not delay any node. It is safe for concurrent use.
func (c *Controller) Committed(revision uint64, manifest api.Manifest, blobs map[string][]byte) {
	c.post(func(now time.Time) {
		set, err := c.config.Accept(revision, manifest, blobs)
		c.applySet(now, set, err, true)
	})
}
