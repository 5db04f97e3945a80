package control

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sort"
	"strconv"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/lease"
	"github.com/fireflychute/fireflychute/pkg/membership"
	"github.com/fireflychute/fireflychute/pkg/objectstore"
	"github.com/fireflychute/fireflychute/pkg/share"
)

const (
	leaseController = "controller"
	leaseWatcher    = "watcher-"
	// leaseTime is how long a lease holds without renewal. It is the longest part of
	// the time without a controller after one was lost; a renewal each third of it
	// costs 0.6 writes a second for each lease.
	leaseTime = 5 * time.Second
	// releaseTime bounds giving a lease back at a planned stop.
	releaseTime = time.Second
	// firstBackoff is the mean delay after the first failed call for a lease; it
	// doubles up to candidateBackoff, or holderBackoff while the lease is held.
	firstBackoff     = 200 * time.Millisecond
	candidateBackoff = 4 * time.Second
	holderBackoff    = 800 * time.Millisecond
	maxBackoffShift  = 5
	// smallFleet is the largest fleet with smallFleetWatchers in all; a larger one
	// has a watcher per data centre.
	smallFleet         = 20
	smallFleetWatchers = 2
	// candidates is how many nodes try for a lease whose holder does not respond,
	// so that the calls on the platform do not grow with the fleet.
	candidates = 3
)

// heldLease is one lease that this node may hold.
type heldLease struct {
	name string
	// dataCentre limits the candidates; empty means all nodes.
	dataCentre string
	machine    *lease.Machine
	busy       bool
	epoch      uint64 // 0 while it is not held
	// failures counts the calls in a row that the platform refused or did not answer.
	failures int
	retryAt  time.Time
}

// backOff delays the next call after a failure. Without it, the candidates of all
// leases keep calling a platform that refuses by rate, and take the calls that
// operators need. A holder waits less, because its lease lapses.
func (l *heldLease) backOff(now time.Time, random *rand.Rand) {
	longest := candidateBackoff
	if l.epoch > 0 {
		longest = holderBackoff
	}
	delay := min(firstBackoff<<min(l.failures, maxBackoffShift), longest)
	l.failures++
	l.retryAt = now.Add(delay/2 + time.Duration(random.Int64N(int64(delay))))
}

// succeeded ends the delays.
func (l *heldLease) succeeded() {
	l.failures = 0
	l.retryAt = time.Time{}
}

// leases is the leases that this node tries for or holds.
type leases struct {
	self     string
	byName   map[string]*heldLease
	watching bool // a watcher lease is held
}

func newLeases(self string) leases {
	return leases{self: self, byName: map[string]*heldLease{}}
}

// controllerEpoch returns the epoch of the controller lease if this node holds it.
func (c *Controller) controllerEpoch(now time.Time) (uint64, bool) {
	held := c.leases.byName[leaseController]
	if held == nil {
		return 0, false
	}
	return held.machine.Held(now)
}

// wantedLeases maps the names of the leases of this fleet to the data centre of
// their candidates.
func (c *Controller) wantedLeases(now time.Time) map[string]string {
	wanted := map[string]string{leaseController: ""}
	if len(c.members.CountedNodes(now)) <= smallFleet {
		for i := range smallFleetWatchers {
			wanted[leaseWatcher+strconv.Itoa(i)] = ""
		}
		return wanted
	}
	wanted[leaseWatcher+c.options.Self.DataCentre] = c.options.Self.DataCentre
	return wanted
}

// stepLeases renews what is held and tries for what nobody holds.
func (c *Controller) stepLeases(now time.Time) {
	if !c.members.Joined() {
		return
	}
	wanted := c.wantedLeases(now)
	for name, dataCentre := range wanted {
		if c.leases.byName[name] == nil {
			c.leases.byName[name] = &heldLease{
				name: name, dataCentre: dataCentre, machine: lease.New(name, c.leases.self, leaseTime),
			}
		}
	}
	c.leases.watching = false
	for _, name := range c.leases.names() {
		held := c.leases.byName[name]
		_, ok := wanted[name]
		c.stepLease(now, held, ok)
		if held.epoch > 0 && name != leaseController {
			c.leases.watching = true
		}
	}
}

func (l *leases) names() []string {
	names := make([]string, 0, len(l.byName))
	for name := range l.byName {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (c *Controller) stepLease(now time.Time, held *heldLease, wanted bool) {
	c.noteHolding(now, held)
	if held.busy || now.Before(held.retryAt) {
		return
	}
	if held.epoch == 0 && (!wanted || c.holderResponds(held.name)) {
		return
	}
	rank := share.Rank(prefixLease+held.name, c.leases.self, c.aliveNames(held.dataCentre))
	if held.epoch == 0 && rank >= candidates {
		return
	}
	step := held.machine.Next(now, rank)
	switch step.Action {
	case lease.Read:
		c.readLease(held)
	case lease.Write:
		c.writeLease(held, step)
	}
}

// noteHolding publishes a change of holder and logs it.
func (c *Controller) noteHolding(now time.Time, held *heldLease) {
	epoch, ok := held.machine.Held(now)
	if !ok {
		epoch = 0
	}
	if epoch == held.epoch {
		return
	}
	fact := membership.Fact{Key: prefixLease + held.name, Epoch: epoch, Version: firstFactNumber, Value: []byte(c.leases.self)}
	if epoch == 0 {
		// The same epoch with a higher version tells that its holder gave up.
		fact = membership.Fact{Key: prefixLease + held.name, Epoch: held.epoch, Version: firstFactNumber + 1}
	}
	held.epoch = epoch
	c.options.Log.Info().Str("lease", held.name).Uint64("epoch", fact.Epoch).Bool("held", ok).Msg("lease changed")
	c.publishFact(now, fact)
}

// holderResponds tells that the holder that gossip names is alive. Other nodes
// then leave the platform alone.
func (c *Controller) holderResponds(name string) bool {
	fact, ok := c.members.Fact(prefixLease + name)
	if !ok || len(fact.Value) == 0 {
		return false
	}
	holder, known := c.members.Member(string(fact.Value))
	return known && holder.State == membership.Alive
}

func (c *Controller) readLease(held *heldLease) {
	held.busy = true
	c.background(platformCallTime, func(ctx context.Context) event {
		object, err := c.options.Store.Get(ctx, objectstore.KindLease, held.name)
		return func(now time.Time) {
			held.busy = false
			c.takeLease(now, held, object, err)
		}
	})
}

func (c *Controller) takeLease(now time.Time, held *heldLease, object objectstore.Object, err error) {
	if notFound(err) {
		c.heardPlatform(now, nil)
		held.machine.Observed(now, api.LeaseRecord{}, 0)
		return
	}
	c.heardPlatform(now, err)
	var record api.LeaseRecord
	if err == nil {
		err = json.Unmarshal(object.Value, &record)
	}
	if err != nil {
		held.backOff(now, c.options.Random)
		held.machine.Failed(now, err)
		return
	}
	held.succeeded()
	held.machine.Observed(now, record, object.Version)
}

func (c *Controller) writeLease(held *heldLease, step lease.Step) {
	value, err := json.Marshal(step.Record)
	if err != nil {
		return
	}
	held.busy = true
	c.background(platformCallTime, func(ctx context.Context) event {
		version, err := put(ctx, c.options.Store, objectstore.KindLease, held.name, value, step.IfVersion)
		return func(now time.Time) {
			held.busy = false
			c.heardPlatform(now, ignoreConflict(err))
			if err != nil {
				if ignoreConflict(err) != nil {
					held.backOff(now, c.options.Random)
				}
				held.machine.Failed(now, err)
				return
			}
			held.succeeded()
			held.machine.Written(now, version)
		}
	})
}

// releaseLeases gives the leases back, so that others need not wait for them to lapse.
func (c *Controller) releaseLeases() {
	ctx, cancel := context.WithTimeout(c.ctx, releaseTime)
	defer cancel()
	for _, name := range c.leases.names() {
		held := c.leases.byName[name]
		if held.epoch == 0 {
			continue
		}
		step := held.machine.Release()
		value, err := json.Marshal(step.Record)
		if err == nil && step.Action == lease.Write {
			_, _ = put(ctx, c.options.Store, objectstore.KindLease, name, value, step.IfVersion)
		}
		c.publishFact(time.Now(), membership.Fact{Key: prefixLease + name, Epoch: held.epoch, Version: firstFactNumber + 1})
	}
}

// Watching tells whether this node watches the platform for the others. It may be
// called from any goroutine.
func (c *Controller) Watching() bool {
	answer := make(chan bool, 1)
	c.post(func(time.Time) { answer <- c.leases.watching })
	select {
	case watching := <-answer:
		return watching
	case <-c.ctx.Done():
		return false
	}
}
