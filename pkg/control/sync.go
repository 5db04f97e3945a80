package control

import (
	"context"
	"time"

	"github.com/fireflychute/fireflychute/pkg/membership"
	"github.com/fireflychute/fireflychute/pkg/share"
)

const (
	// fetchRetryInterval is the minimum time between two attempts to fetch a document.
	fetchRetryInterval = 300 * time.Millisecond
	// peerAttempts is the number of attempts with peers before the first one with the platform.
	peerAttempts = 3
	// fallbackReadInterval is the interval at which the fallback readers read the platform.
	fallbackReadInterval = 15 * time.Second
	// fallbackReaders is the number of nodes that read the platform in addition to the watchers.
	fallbackReaders = 2
	// initialReadInterval is the interval at which a node reads the platform while it has no
	// configuration or no contact to its peers.
	initialReadInterval = time.Second
	// peerSilenceTimeout is the time without contact to any peer after which a node reads the
	// platform to find out whether it is isolated.
	peerSilenceTimeout = 3 * time.Second
)

// fetchState is the progress of fetching a document that peers announce: the configuration or the
// VM list.
type fetchState struct {
	announcedVersion uint64
	announcer        string
	fetching         bool
	retryAt          time.Time
	attempts         int
}

func (f *fetchState) announce(version uint64, from string) {
	if version <= f.announcedVersion {
		return
	}
	f.announcedVersion = version
	f.announcer = from
	f.attempts = 0
	f.retryAt = time.Time{}
}

// startAttempt reports whether the next attempt is due, and if so records it as started.
func (f *fetchState) startAttempt(now time.Time, have uint64) bool {
	if f.announcedVersion <= have || f.fetching || now.Before(f.retryAt) {
		return false
	}
	f.fetching = true
	f.attempts++
	f.retryAt = now.Add(fetchRetryInterval)
	return true
}

// usesPlatform reports whether the current attempt reads from the platform. After the first
// attempts, the platform and peers are used alternately, because either may remain unreachable
// while the other responds again.
func (f *fetchState) usesPlatform() bool {
	return f.attempts > peerAttempts && (f.attempts-peerAttempts)%2 == 1
}

// syncState is the progress of fetching what other nodes announced.
type syncState struct {
	config          fetchState
	vms             fetchState
	platformReadAt  time.Time
	readingPlatform bool
	stopWatch       context.CancelFunc
	// blobs holds the blobs of attempts that did not read all of them. At full size one attempt
	// reads some 700 blobs, which at 5 ms each takes longer than the timeout of a call.
	blobs map[string][]byte
}

func (s *syncState) announceConfig(revision uint64, from string) { s.config.announce(revision, from) }

func (s *syncState) announceVMs(version int, from string) { s.vms.announce(uint64(version), from) }

// start reads the platform for the first time and publishes the relay address of this node. The
// first tick contacts the seed nodes.
func (c *Controller) start() {
	now := time.Now()
	c.readPlatform(now)
	if c.options.Relay != "" {
		c.publishFact(now, membership.Fact{
			Key: prefixRelay + c.options.Self.Name, Epoch: c.options.Self.Incarnation, Version: firstFactNumber, Value: []byte(c.options.Relay),
		})
	}
}

// stepSync fetches announced documents that are newer than those of this node.
func (c *Controller) stepSync(now time.Time) {
	if c.sync.config.startAttempt(now, c.revision()) {
		c.fetchConfig(now)
	}
	if c.sync.vms.startAttempt(now, uint64(c.vms.Version)) {
		c.fetchVMs(now)
	}
	if c.isPlatformReadDue(now) {
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

// isPlatformReadDue reports whether this node reads the platform now without a watch: if it has no
// configuration, if it has no contact to its peers, or as a fallback reader.
func (c *Controller) isPlatformReadDue(now time.Time) bool {
	since := now.Sub(c.sync.platformReadAt)
	if c.sync.readingPlatform || since < initialReadInterval {
		return false
	}
	if c.set == nil || c.arePeersSilent(now) {
		return true
	}
	return since >= fallbackReadInterval && share.Rank("fallback", c.options.Self.Name, c.aliveNodeNames("")) < fallbackReaders
}

// arePeersSilent reports whether this node knows other nodes but has no contact to any of them.
func (c *Controller) arePeersSilent(now time.Time) bool {
	return now.Sub(c.lastPeerContact()) >= peerSilenceTimeout && !c.isSoleNode()
}

// lastPeerContact returns when the last message from a peer arrived, or when this node started if
// none did.
func (c *Controller) lastPeerContact() time.Time {
	lastContact := c.members.LastReceived()
	if lastContact.IsZero() {
		return c.startedAt
	}
	return lastContact
}

// aliveNodeNames returns the names of the nodes that are alive, in one data centre or, if
// dataCentre is empty, in all of them.
func (c *Controller) aliveNodeNames(dataCentre string) []string {
	names := []string{}
	for _, member := range c.members.Members() {
		if member.State == membership.Alive && (dataCentre == "" || member.DataCentre == dataCentre) {
			names = append(names, member.Name)
		}
	}
	return names
}
