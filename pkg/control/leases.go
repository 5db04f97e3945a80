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
	// leaseDuration is how long a lease is valid without renewal. It is the largest part of the
	// time without a leader after a leader is lost. A renewal every third of it costs 0.6 writes a
	// second per lease.
	leaseDuration = 5 * time.Second
	// releaseTimeout limits the release of the leases at a planned stop.
	releaseTimeout = time.Second
	// initialBackoff is the mean delay after the first failed call for a lease. It doubles up to
	// maxCandidateBackoff, or up to maxHolderBackoff while the lease is held.
	initialBackoff      = 200 * time.Millisecond
	maxCandidateBackoff = 4 * time.Second
	maxHolderBackoff    = 800 * time.Millisecond
	maxBackoffShift     = 5
	// smallFleetSize is the largest fleet that has smallFleetWatchers watchers in total. A larger
	// fleet has one watcher per data centre.
	smallFleetSize     = 20
	smallFleetWatchers = 2
	// maxCandidates is how many nodes try to acquire a lease whose holder does not respond. It
	// keeps the number of calls to the platform independent of the fleet size.
	maxCandidates = 3
)

// leaseState is the state of one lease that this node holds or may acquire.
type leaseState struct {
	name string
	// dataCentre restricts the candidates to one data centre; empty means all nodes.
	dataCentre  string
	machine     *lease.StateMachine
	callPending bool
	epoch       uint64 // 0 while the lease is not held
	// failures counts the consecutive calls that the platform rejected or did not respond to.
	failures int
	retryAt  time.Time
}

// scheduleRetry sets the time of the next call after a failure. Without the backoff, the candidates
// of all leases would keep calling a platform that limits the request rate, and use up the calls
// that operators need. A holder backs off less, because its lease would lapse.
func (l *leaseState) scheduleRetry(now time.Time, random *rand.Rand) {
	maxDelay := maxCandidateBackoff
	if l.epoch > 0 {
		maxDelay = maxHolderBackoff
	}
	delay := min(initialBackoff<<min(l.failures, maxBackoffShift), maxDelay)
	l.failures++
	l.retryAt = now.Add(delay/2 + time.Duration(random.Int64N(int64(delay))))
}

// resetBackoff permits the next call at once.
func (l *leaseState) resetBackoff() {
	l.failures = 0
	l.retryAt = time.Time{}
}

// leases holds the leases that this node holds or may acquire.
type leases struct {
	self         string
	byName       map[string]*leaseState
	holdsWatcher bool // true while a watcher lease is held
}

func newLeases(self string) leases {
	return leases{self: self, byName: map[string]*leaseState{}}
}

// leaderEpoch returns the epoch of the controller lease if this node holds it.
func (c *Controller) leaderEpoch(now time.Time) (uint64, bool) {
	state := c.leases.byName[leaseController]
	if state == nil {
		return 0, false
	}
	return state.machine.Held(now)
}

// wantedLeases maps the names of the leases that this node may acquire to the data centre of their
// candidates, or to "" if all nodes are candidates.
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

// stepLeases renews the leases of this node and tries to acquire those without a holder.
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

// publishHolderChange publishes and logs that this node acquired or lost a lease.
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
		// The same epoch with a higher version indicates that the holder gave up the lease.
		fact = membership.Fact{Key: prefixLease + state.name, Epoch: state.epoch, Version: firstFactNumber + 1}
	}
	state.epoch = epoch
	c.options.Log.Info().Str("lease", state.name).Uint64("epoch", fact.Epoch).Bool("held", ok).Msg("lease acquired or lost")
	c.publishFact(now, fact)
}

// isHolderAlive reports whether the holder that gossip names is alive. While it is, the other nodes
// do not call the platform for the lease.
func (c *Controller) isHolderAlive(name string) bool {
	fact, ok := c.members.Fact(prefixLease + name)
	if !ok || len(fact.Value) == 0 {
		return false
	}
	holder, found := c.members.Member(string(fact.Value))
	return found && holder.State == membership.Alive
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

// releaseLeases releases the leases, so that other nodes need not wait for them to lapse.
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

// Watching reports whether this node holds a watcher lease, and so watches the platform for the
// other nodes. It is safe for concurrent use.
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
