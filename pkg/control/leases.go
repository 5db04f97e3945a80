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
	// leaseDuration is how long a lease holds without renewal. It is the longest part of
	// the time without a controller after one was lost; a renewal each third of it
	// costs 0.6 writes a second for each lease.
	leaseDuration = 5 * time.Second
	// releaseTimeout bounds giving a lease back at a planned stop.
	releaseTimeout = time.Second
	// initialBackoff is the mean delay after the first failed call for a lease; it
	// doubles up to candidateBackoff, or holderBackoff while the lease is held.
	initialBackoff      = 200 * time.Millisecond
	maxCandidateBackoff = 4 * time.Second
	maxHolderBackoff    = 800 * time.Millisecond
	maxBackoffShift     = 5
	// smallFleetSize is the largest fleet with smallFleetWatchers in all; a larger one
	// has a watcher per data centre.
	smallFleetSize     = 20
	smallFleetWatchers = 2
	// maxCandidates is how many nodes try for a lease whose holder does not respond,
	// so that the calls on the platform do not grow with the fleet.
	maxCandidates = 3
)

// leaseState is one lease that this node may hold.
type leaseState struct {
	name string
	// dataCentre limits the candidates; empty means all nodes.
	dataCentre  string
	machine     *lease.StateMachine
	callPending bool
	epoch       uint64 // 0 while it is not held
	// failures counts the calls in a row that the platform refused or did not answer.
	failures int
	retryAt  time.Time
}

// scheduleRetry delays the next call after a failure. Without it, the candidates of all
// leases keep calling a platform that refuses by rate, and take the calls that
// operators need. A holder waits less, because its lease lapses.
func (l *leaseState) scheduleRetry(now time.Time, random *rand.Rand) {
	maxDelay := maxCandidateBackoff
	if l.epoch > 0 {
		maxDelay = maxHolderBackoff
	}
	delay := min(initialBackoff<<min(l.failures, maxBackoffShift), maxDelay)
	l.failures++
	l.retryAt = now.Add(delay/2 + time.Duration(random.Int64N(int64(delay))))
}

// resetBackoff ends the delays.
func (l *leaseState) resetBackoff() {
	l.failures = 0
	l.retryAt = time.Time{}
}

// leases is the leases that this node tries for or holds.
type leases struct {
	self         string
	byName       map[string]*leaseState
	holdsWatcher bool // a watcher lease is held
}

func newLeases(self string) leases {
	return leases{self: self, byName: map[string]*leaseState{}}
}

// controllerEpoch returns the epoch of the controller lease if this node holds it.
func (c *Controller) controllerEpoch(now time.Time) (uint64, bool) {
	state := c.leases.byName[leaseController]
	if state == nil {
		return 0, false
	}
	return state.machine.Held(now)
}

// wantedLeases maps the names of the leases of this fleet to the data centre of
// their candidates.
func (c *Controller) wantedLeases(now time.Time) map[string]string {
	wanted := map[string]string{leaseController: ""}
	if len(c.members.CountedNodes(now)) <= smallFleetSize {
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
			c.leases.byName[name] = &leaseState{
				name: name, dataCentre: dataCentre, machine: lease.New(name, c.leases.self, leaseDuration),
			}
		}
	}
	c.leases.holdsWatcher = false
	for _, name := range c.leases.names() {
		state := c.leases.byName[name]
		_, ok := wanted[name]
		c.stepLease(now, state, ok)
		if state.epoch > 0 && name != leaseController {
			c.leases.holdsWatcher = true
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

func (c *Controller) stepLease(now time.Time, state *leaseState, wanted bool) {
	c.publishHolderChange(now, state)
	if state.callPending || now.Before(state.retryAt) {
		return
	}
	if state.epoch == 0 && (!wanted || c.isHolderAlive(state.name)) {
		return
	}
	rank := share.Rank(prefixLease+state.name, c.leases.self, c.aliveNodeNames(state.dataCentre))
	if state.epoch == 0 && rank >= maxCandidates {
		return
	}
	step := state.machine.Next(now, rank)
	switch step.Action {
	case lease.Read:
		c.readLease(state)
	case lease.Write:
		c.writeLease(state, step)
	}
}

// publishHolderChange publishes a change of holder and logs it.
func (c *Controller) publishHolderChange(now time.Time, state *leaseState) {
	epoch, ok := state.machine.Held(now)
	if !ok {
		epoch = 0
	}
	if epoch == state.epoch {
		return
	}
	fact := membership.Fact{Key: prefixLease + state.name, Epoch: epoch, Version: firstFactNumber, Value: []byte(c.leases.self)}
	if epoch == 0 {
		// The same epoch with a higher version tells that its holder gave up.
		fact = membership.Fact{Key: prefixLease + state.name, Epoch: state.epoch, Version: firstFactNumber + 1}
	}
	state.epoch = epoch
	c.options.Log.Info().Str("lease", state.name).Uint64("epoch", fact.Epoch).Bool("held", ok).Msg("lease changed")
	c.publishFact(now, fact)
}

// isHolderAlive tells that the holder that gossip names is alive. Other nodes
// then leave the platform alone.
func (c *Controller) isHolderAlive(name string) bool {
	fact, ok := c.members.Fact(prefixLease + name)
	if !ok || len(fact.Value) == 0 {
		return false
	}
	holder, known := c.members.Member(string(fact.Value))
	return known && holder.State == membership.Alive
}

func (c *Controller) readLease(state *leaseState) {
	state.callPending = true
	c.runInBackground(platformCallTimeout, func(ctx context.Context) event {
		object, err := c.options.Store.Get(ctx, objectstore.KindLease, state.name)
		return func(now time.Time) {
			state.callPending = false
			c.handleLeaseRead(now, state, object, err)
		}
	})
}

func (c *Controller) handleLeaseRead(now time.Time, state *leaseState, object objectstore.Object, err error) {
	if isNotFound(err) {
		c.recordPlatformResult(now, nil)
		state.machine.Observed(now, api.LeaseRecord{}, 0)
		return
	}
	c.recordPlatformResult(now, err)
	var record api.LeaseRecord
	if err == nil {
		err = json.Unmarshal(object.Value, &record)
	}
	if err != nil {
		state.scheduleRetry(now, c.options.Random)
		state.machine.Failed(now, err)
		return
	}
	state.resetBackoff()
	state.machine.Observed(now, record, object.Version)
}

func (c *Controller) writeLease(state *leaseState, step lease.Step) {
	value, err := json.Marshal(step.Record)
	if err != nil {
		return
	}
	state.callPending = true
	c.runInBackground(platformCallTimeout, func(ctx context.Context) event {
		version, err := createOrUpdate(ctx, c.options.Store, objectstore.KindLease, state.name, value, step.IfVersion)
		return func(now time.Time) {
			state.callPending = false
			c.recordPlatformResult(now, ignoreConflict(err))
			if err != nil {
				if ignoreConflict(err) != nil {
					state.scheduleRetry(now, c.options.Random)
				}
				state.machine.Failed(now, err)
				return
			}
			state.resetBackoff()
			state.machine.Written(now, version)
		}
	})
}

// releaseLeases gives the leases back, so that others need not wait for them to lapse.
func (c *Controller) releaseLeases() {
	ctx, cancel := context.WithTimeout(c.ctx, releaseTimeout)
	defer cancel()
	for _, name := range c.leases.names() {
		state := c.leases.byName[name]
		if state.epoch == 0 {
			continue
		}
		step := state.machine.Release()
		value, err := json.Marshal(step.Record)
		if err == nil && step.Action == lease.Write {
			_, _ = createOrUpdate(ctx, c.options.Store, objectstore.KindLease, name, value, step.IfVersion)
		}
		c.publishFact(time.Now(), membership.Fact{Key: prefixLease + name, Epoch: state.epoch, Version: firstFactNumber + 1})
	}
}

// Watching tells whether this node watches the platform for the others. It may be
// called from any goroutine.
func (c *Controller) Watching() bool {
	result := make(chan bool, 1)
	c.post(func(time.Time) { result <- c.leases.holdsWatcher })
	select {
	case watching := <-result:
		return watching
	case <-c.ctx.Done():
		return false
	}
}
