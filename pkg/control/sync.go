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
	"github.com/fireflychute/fireflychute/pkg/platform"
	"github.com/fireflychute/fireflychute/pkg/share"
)

const (
	// fetchRetryTime is the pause between two attempts to fetch from peers.
	fetchRetryTime = 300 * time.Millisecond
	// peerAttempts is how many peers are asked before the platform is asked.
	peerAttempts = 3
	// fallbackTime is how often the fallback readers read the platform.
	fallbackTime = 15 * time.Second
	// fallbackReaders is how many nodes read the platform besides the watchers.
	fallbackReaders = 2
	// startReadTime is how often a node without configuration reads the platform.
	startReadTime = time.Second
	// silenceTime is how long peers may be silent before a node reads the platform
	// to find out whether it is cut off.
	silenceTime = 3 * time.Second
)

// document is the progress of fetching one document that peers announce: the
// configuration or the list of VMs.
type document struct {
	wanted    uint64
	announcer string
	busy      bool
	retryAt   time.Time
	attempts  int
}

func (d *document) announce(version uint64, from string) {
	if version <= d.wanted {
		return
	}
	d.wanted = version
	d.announcer = from
	d.attempts = 0
	d.retryAt = time.Time{}
}

// due tells whether the next attempt is to be made, and counts it.
func (d *document) due(now time.Time, have uint64) bool {
	if d.wanted <= have || d.busy || now.Before(d.retryAt) {
		return false
	}
	d.busy = true
	d.attempts++
	d.retryAt = now.Add(fetchRetryTime)
	return true
}

// asksPlatform tells whether the present attempt goes to the platform. After the
// first attempts the platform and peers are asked in turns, because either may
// remain out of reach while the other responds again.
func (d *document) asksPlatform() bool {
	return d.attempts > peerAttempts && (d.attempts-peerAttempts)%2 == 1
}

// syncState is how far the node is with what others announced.
type syncState struct {
	config    document
	vms       document
	readAt    time.Time
	reading   bool
	stopWatch context.CancelFunc
	// blobs were read in attempts that did not get all of them. At full size one
	// attempt reads some 700 blobs, which at 5 ms each takes longer than a call may.
	blobs map[string][]byte
}

func (s *syncState) announced(revision uint64, from string) { s.config.announce(revision, from) }

func (s *syncState) announcedVMs(version int, from string) { s.vms.announce(uint64(version), from) }

// start makes the first platform read. Peers answer through gossip.
func (c *Controller) start() {
	now := time.Now()
	c.readPlatform(now)
	if c.options.Relay != "" {
		c.share(now, membership.Fact{
			Key: prefixRelay + c.options.Self.Name, Epoch: c.options.Self.Incarnation, Version: firstFactNumber, Value: []byte(c.options.Relay),
		})
	}
}

// stepSync fetches what is announced and newer than what the node has.
func (c *Controller) stepSync(now time.Time) {
	if c.sync.config.due(now, c.revision()) {
		c.fetchConfig(now)
	}
	if c.sync.vms.due(now, uint64(c.vms.Version)) {
		c.fetchVMs(now)
	}
	if c.platformReadDue(now) {
		c.readPlatform(now)
	}
	c.stepWatch()
}

func (c *Controller) revision() uint64 {
	if c.set == nil {
		return 0
	}
	return c.set.Revision
}

// platformReadDue tells whether a node that does not watch reads the platform
// now: without configuration, when its peers are silent, or as a fallback reader.
func (c *Controller) platformReadDue(now time.Time) bool {
	since := now.Sub(c.sync.readAt)
	if c.sync.reading || since < startReadTime {
		return false
	}
	if c.set == nil || c.peersSilent(now) {
		return true
	}
	return since >= fallbackTime && share.Rank("fallback", c.options.Self.Name, c.aliveNames("")) < fallbackReaders
}

// peersSilent tells that the node knows of other nodes and hears none.
func (c *Controller) peersSilent(now time.Time) bool {
	return now.Sub(c.heardPeersAt()) >= silenceTime && !c.alone()
}

func (c *Controller) heardPeersAt() time.Time {
	heard := c.members.LastHeard()
	if heard.IsZero() {
		return c.startedAt
	}
	return heard
}

// aliveNames returns the names of the nodes that respond, in one data centre or
// in all of them.
func (c *Controller) aliveNames(dataCentre string) []string {
	names := []string{}
	for _, member := range c.members.Members() {
		if member.State == membership.Alive && (dataCentre == "" || member.DataCentre == dataCentre) {
			names = append(names, member.Name)
		}
	}
	return names
}

// readPlatform reads the manifest and the list of VMs once.
func (c *Controller) readPlatform(now time.Time) {
	c.sync.readAt = now
	c.sync.reading = true
	c.background(platformCallTime, func(ctx context.Context) event {
		object, err := c.options.Store.Get(ctx, platform.KindManifest, platform.ManifestName)
		return func(now time.Time) {
			c.sync.reading = false
			if errors.Is(err, platform.ErrNotFound) {
				c.heardPlatform(now, nil)
				return
			}
			c.heardPlatform(now, err)
			if err == nil {
				c.sync.announced(object.Version, "")
			}
		}
	})
	c.background(platformCallTime, func(ctx context.Context) event {
		list, err := c.options.Store.VMs(ctx, 0)
		return func(now time.Time) {
			c.heardPlatform(now, err)
			if err == nil {
				c.acceptVMs(now, list)
			}
		}
	})
}

// fetchConfig asks a peer that has the wanted revision, and the platform when
// peers failed.
func (c *Controller) fetchConfig(now time.Time) {
	peer := c.peerFor(c.sync.config)
	if peer == "" {
		c.loadConfig(now)
		return
	}
	have := c.revision()
	c.background(peerCallTime, func(ctx context.Context) event {
		answer, err := c.options.Peers.Call(ctx, peer, message.Message{ConfigFetch: &message.ConfigFetch{Have: have}})
		return func(now time.Time) {
			c.sync.config.busy = false
			if err == nil && answer.ConfigDelta != nil {
				c.acceptDelta(now, *answer.ConfigDelta)
			}
		}
	})
}

// peerFor returns the address of a node to fetch from, or "" for the platform.
// A random node that has the revision spreads the load of a change over all.
func (c *Controller) peerFor(d document) string {
	if d.asksPlatform() {
		return ""
	}
	if d.attempts > 1 {
		return c.randomPeer(d.wanted)
	}
	if d.announcer == c.options.Self.Address {
		return ""
	}
	return d.announcer
}

func (c *Controller) randomPeer(revision uint64) string {
	found := []string{}
	for _, member := range c.members.Members() {
		if member.Name != c.options.Self.Name && member.State == membership.Alive && member.Revision >= revision {
			found = append(found, member.Address)
		}
	}
	if len(found) == 0 {
		return ""
	}
	return found[c.options.Random.IntN(len(found))]
}

// loadConfig reads the manifest and the missing blobs from the platform.
func (c *Controller) loadConfig(time.Time) {
	c.background(platformCallTime, func(ctx context.Context) event {
		object, err := c.options.Store.Get(ctx, platform.KindManifest, platform.ManifestName)
		return func(now time.Time) {
			c.heardPlatform(now, err)
			if err != nil {
				c.sync.config.busy = false
				return
			}
			c.loadBlobs(object)
		}
	})
}

// loadBlobs reads the blobs of a manifest that the node does not hold yet.
func (c *Controller) loadBlobs(object platform.Object) {
	var manifest api.Manifest
	err := json.Unmarshal(object.Value, &manifest)
	if err != nil || object.Version <= c.revision() {
		c.sync.config.busy = false
		return
	}
	missing := []string{}
	for _, digest := range c.config.Missing(manifest) {
		if c.sync.blobs[digest] == nil {
			missing = append(missing, digest)
		}
	}
	c.background(platformCallTime, func(ctx context.Context) event {
		blobs, err := readBlobs(ctx, c.options.Store, missing)
		return func(now time.Time) {
			c.counters.platformCalls.Add(uint64(len(missing)))
			c.heardPlatform(now, err)
			c.sync.config.busy = false
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

// readBlobs returns the blobs that were read before the first error.
func readBlobs(ctx context.Context, store platform.Store, digests []string) (map[string][]byte, error) {
	blobs := map[string][]byte{}
	for _, digest := range digests {
		object, err := store.Get(ctx, platform.KindBlob, digest)
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

// applySet puts a newer configuration in force. announce tells the peers.
func (c *Controller) applySet(now time.Time, set *configuration.Set, err error, announce bool) {
	if err != nil {
		c.options.Log.Warn().Err(err).Msg("configuration not usable")
		return
	}
	if set == nil || set.Revision <= c.revision() {
		return
	}
	clear(c.sync.blobs)
	c.resetReturned(now, set)
	c.set = set
	c.dirty = true
	c.members.SetRevision(set.Revision)
	c.sync.announced(set.Revision, "")
	c.options.Log.Info().Uint64("revision", set.Revision).Msg("configuration applied")
	if announce {
		c.share(now, membership.Fact{Key: factConfig, Epoch: set.Revision, Version: firstFactNumber, Value: []byte(c.options.Self.Address)})
	}
}

// configDelta answers a peer that has an older revision.
func (c *Controller) configDelta(have uint64) *message.Message {
	delta := c.config.Delta(have)
	return &message.Message{ConfigDelta: &delta}
}
