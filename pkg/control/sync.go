package control

import (
	"context"
	"time"

	"github.com/fireflychute/fireflychute/pkg/membership"
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
		c.publishFact(now, membership.Fact{
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
	heard := c.members.LastReceived()
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
