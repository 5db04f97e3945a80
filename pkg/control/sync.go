package control

import (
	"context"
	"time"

	"github.com/fireflychute/fireflychute/pkg/membership"
	"github.com/fireflychute/fireflychute/pkg/share"
)

const (
	// fetchRetryInterval is the pause between two attempts to fetch from peers.
	fetchRetryInterval = 300 * time.Millisecond
	// peerAttempts is how many peers are asked before the platform is asked.
	peerAttempts = 3
	// fallbackReadInterval is how often the fallback readers read the platform.
	fallbackReadInterval = 15 * time.Second
	// fallbackReaders is how many nodes read the platform besides the watchers.
	fallbackReaders = 2
	// initialReadInterval is how often a node without configuration reads the platform.
	initialReadInterval = time.Second
	// peerSilenceTimeout is how long peers may be silent before a node reads the platform
	// to find out whether it is cut off.
	peerSilenceTimeout = 3 * time.Second
)

// fetchState is the progress of fetching one document that peers announce: the
// configuration or the list of VMs.
type fetchState struct {
	announcedVersion uint64
	announcer        string
	fetching         bool
	retryAt          time.Time
	attempts         int
}

func (d *fetchState) announce(version uint64, from string) {
	if version <= d.announcedVersion {
		return
	}
	d.announcedVersion = version
	d.announcer = from
	d.attempts = 0
	d.retryAt = time.Time{}
}

// startAttempt tells whether the next attempt is to be made, and counts it.
func (d *fetchState) startAttempt(now time.Time, have uint64) bool {
	if d.announcedVersion <= have || d.fetching || now.Before(d.retryAt) {
		return false
	}
	d.fetching = true
	d.attempts++
	d.retryAt = now.Add(fetchRetryInterval)
	return true
}

// usesPlatform tells whether the present attempt goes to the platform. After the
// first attempts the platform and peers are asked in turns, because either may
// remain out of reach while the other responds again.
func (d *fetchState) usesPlatform() bool {
	return d.attempts > peerAttempts && (d.attempts-peerAttempts)%2 == 1
}

// syncState is how far the node is with what others announced.
type syncState struct {
	config          fetchState
	vms             fetchState
	platformReadAt  time.Time
	readingPlatform bool
	stopWatch       context.CancelFunc
	// blobs were read in attempts that did not get all of them. At full size one
	// attempt reads some 700 blobs, which at 5 ms each takes longer than a call may.
	blobs map[string][]byte
}

func (s *syncState) announceConfig(revision uint64, from string) { s.config.announce(revision, from) }

func (s *syncState) announceVMs(version int, from string) { s.vms.announce(uint64(version), from) }

// start makes the first platform read. Peers answer through gossip.
func (c *Controller) start() {
	now := time.Now()
	c.readPlatform(now)
	if c.options.Relay != "" {
		c.publishFact(now, membership.Fact{
			Key: prefixRelay + c.options.Self.Name, Epoch: c.options.Self.Incarnation, Version: firstFactNumber, Value: []byte(c.options.Relay),
		})
	}
}

// stepSync fetches what is announced and newer than what the node has.
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

// isPlatformReadDue tells whether a node that does not watch reads the platform
// now: without configuration, when its peers are silent, or as a fallback reader.
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

// arePeersSilent tells that the node knows of other nodes and hears none.
func (c *Controller) arePeersSilent(now time.Time) bool {
	return now.Sub(c.lastPeerContact()) >= peerSilenceTimeout && !c.isSoleNode()
}

func (c *Controller) lastPeerContact() time.Time {
	lastContact := c.members.LastReceived()
	if lastContact.IsZero() {
		return c.startedAt
	}
	return lastContact
}

// aliveNodeNames returns the names of the nodes that respond, in one data centre or
// in all of them.
func (c *Controller) aliveNodeNames(dataCentre string) []string {
	names := []string{}
	for _, member := range c.members.Members() {
		if member.State == membership.Alive && (dataCentre == "" || member.DataCentre == dataCentre) {
			names = append(names, member.Name)
		}
	}
	return names
}
