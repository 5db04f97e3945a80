package quota

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ownerBurst is the number of units that an owner keeps while nobody asks.
	ownerBurst = 1.5
	// minNodeRate is the rate per node, in units per second, from which on a limit is divided among
	// all nodes instead of being granted by an owner: each of them then has units at any time.
	minNodeRate = 4
	// nodeBurst is the number of units that a node keeps of a limit that is divided among all. A
	// request and the load probes before it take one each.
	nodeBurst = 4
	// askTimeout bounds the time that a request waits for all owners of a limit; relayTimeout is
	// that of an owner that asks the ones before it.
	askTimeout   = 120 * time.Millisecond
	relayTimeout = 60 * time.Millisecond
	// grantLifetime is the time after which a grant is not used any more: the process was frozen.
	grantLifetime = 500 * time.Millisecond
	// suspectTime is how long an owner that did not reply is not asked again.
	suspectTime = 2 * time.Second
)

// Ask asks an owner for a unit of a limit, or only whether it is there.
type Ask struct {
	// Limit is the limit as the asker knows it.
	Limit Limit
	// CheckOnly asks for no unit.
	CheckOnly bool
	// Relayed is set if the asker is itself an owner. It is not asked in turn.
	Relayed bool
}

// Reply is an owner's reply. Known is the limit as the owner knows it.
type Reply struct {
	Known Limit
	Grant
}

// Grant is a decision on a unit.
type Grant struct {
	// OK allows one request or load probe.
	OK bool
	// Wait is the time until there will be a unit for this asker, if OK is not set.
	Wait time.Duration
	// fromPeer is set if another node has decided.
	fromPeer bool
}

// Peers sends an Ask to another node.
type Peers interface {
	Ask(ctx context.Context, to Node, ask Ask) (Reply, error)
}

// Counts counts what became of requests for units.
type Counts struct {
	// Own units were taken from this node's own share, Granted ones were granted by another node.
	Own, Granted atomic.Int64
	// Refused units were not there; Failed counts owners that did not reply.
	Refused, Failed atomic.Int64
}

// Allocator decides which requests a node may send to limited targets. For each target, rendezvous
// hashing selects an owner among the nodes, which grants units to itself and to the others. It is
// safe for concurrent use.
type Allocator struct {
	self  string
	table *Table
	peers Peers
	fleet atomic.Pointer[fleet]
	now   func() time.Time

	mu      sync.Mutex
	buckets map[Key]*Bucket
	// suspects holds the time until which a node is not asked, by name.
	suspects map[string]time.Time
	// retryAt holds the time until which a refused target is not asked for again.
	retryAt map[Key]time.Time

	Counts Counts
}

// NewAllocator returns an allocator of the node self. It grants nothing before SetNodes.
func NewAllocator(self string, table *Table, peers Peers) *Allocator {
	a := &Allocator{
		self: self, table: table, peers: peers, now: time.Now,
		buckets: map[Key]*Bucket{}, suspects: map[string]time.Time{}, retryAt: map[Key]time.Time{},
	}
	a.fleet.Store(&fleet{})
	return a
}

// SetNodes replaces the list of nodes.
func (a *Allocator) SetNodes(nodes []Node) {
	f := &fleet{addresses: make(map[string]string, len(nodes))}
	for _, node := range nodes {
		f.names = append(f.names, node.Name)
		f.addresses[node.Name] = node.Address
	}
	a.fleet.Store(f)
}

// nodeRate returns each node's share of a limit that is high enough to be divided among all. isDivided
// is false for a lower limit, and if this node is not listed yet.
func (a *Allocator) nodeRate(f *fleet, limit Limit) (rate float64, isDivided bool) {
	if _, listed := f.addresses[a.self]; !listed {
		return 0, false
	}
	rate = usedShare * limit.Rate / float64(len(f.names))
	return rate, rate >= minNodeRate
}

// IsDivided reports whether a limit is so high that each node has a share of it, so that load probes
// may be sent as well.
func (a *Allocator) IsDivided(limit Limit) bool {
	_, isDivided := a.nodeRate(a.fleet.Load(), limit)
	return isDivided
}

// TryOwn takes a unit that this node holds itself, and reports whether it did. The target must not
// be sent anything if it is limited and TryOwn returns false.
func (a *Allocator) TryOwn(key Key) bool {
	limit, limited := a.table.Get(key)
	if !limited {
		return true
	}
	rate, burst, isOwner := a.ownShare(limit)
	if !isOwner || !a.tryTake(key, rate, burst) {
		return false
	}
	a.Counts.Own.Add(1)
	return true
}

// ownShare returns the rate and burst of the units that this node holds itself. isOwner is false if
// another node holds them.
func (a *Allocator) ownShare(limit Limit) (rate, burst float64, isOwner bool) {
	f := a.fleet.Load()
	if rate, isDivided := a.nodeRate(f, limit); isDivided {
		return rate, nodeBurst, true
	}
	rank, isGrantor := a.grantorRank(f, limit.Key)
	if !isGrantor {
		return 0, 0, false
	}
	return ownerRate(limit.Rate, rank), ownerBurst, true
}

// grantorRank returns the rank of this node among the owners of a limit. isGrantor is false if it is
// none of them, or if one before it is not suspected.
func (a *Allocator) grantorRank(f *fleet, key Key) (rank int, isGrantor bool) {
	for rank, owner := range f.owners(key) {
		if owner == a.self {
			return rank, true
		}
		if !a.isSuspect(owner) {
			return 0, false
		}
	}
	return 0, false
}

// Acquire takes a unit of the limit that a target has named.
func (a *Allocator) Acquire(ctx context.Context, key Key) Grant {
	limit, limited := a.table.Get(key)
	if !limited {
		return Grant{OK: true}
	}
	return a.AcquireOf(ctx, limit)
}

// AcquireOf takes a unit of this node's own or asks the owner of the limit for one.
func (a *Allocator) AcquireOf(ctx context.Context, limit Limit) Grant {
	key := limit.Key
	askedAt := a.now()
	if wait := a.waitOf(key, askedAt); wait > 0 {
		return Grant{Wait: wait}
	}
	// An ask that ended with its request would make the owner look as if it did not reply.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
	defer cancel()
	grant := a.decide(ctx, Ask{Limit: limit})
	now := a.now()
	switch {
	case grant.OK && now.Sub(askedAt) > grantLifetime:
		return Grant{Wait: grantLifetime}
	case grant.OK && grant.fromPeer:
		a.Counts.Granted.Add(1)
	case grant.OK:
		a.Counts.Own.Add(1)
	default:
		a.Counts.Refused.Add(1)
		a.setRetryAt(key, now.Add(grant.Wait))
	}
	return grant
}

func (a *Allocator) setRetryAt(key Key, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.retryAt[key] = until
}

// Wait returns the time until this node may ask again for a unit of a limit.
func (a *Allocator) Wait(key Key) time.Duration { return max(0, a.waitOf(key, a.now())) }

func (a *Allocator) waitOf(key Key, now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.retryAt[key].Sub(now)
}

// HandleAsk replies to another node.
func (a *Allocator) HandleAsk(ctx context.Context, from string, ask Ask) Reply {
	known := ask.Limit
	if !known.Warmup {
		a.table.Merge(from, []Limit{ask.Limit}, a.now())
	}
	if own := a.table.Known(known.Key); own.Version > known.Version {
		known = own
	}
	if ask.CheckOnly {
		return Reply{Known: known}
	}
	if !known.Limited {
		return Reply{Known: known, Grant: Grant{OK: true}}
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	return Reply{Known: known, Grant: a.decide(ctx, Ask{Limit: known, Relayed: true})}
}

// decide takes a unit from this node's own bucket, or asks the owners before it in turn. A node that
// is no owner itself does so only for its own requests.
func (a *Allocator) decide(ctx context.Context, ask Ask) Grant {
	f := a.fleet.Load()
	key := ask.Limit.Key
	if rate, isDivided := a.nodeRate(f, ask.Limit); isDivided && !ask.Relayed {
		return a.take(key, rate, nodeBurst)
	}
	owners := f.owners(key)
	if ask.Relayed && !slices.Contains(owners, a.self) {
		return Grant{Wait: suspectTime}
	}
	for rank, owner := range owners {
		switch {
		case owner == a.self:
			return a.take(key, ownerRate(ask.Limit.Rate, rank), ownerBurst)
		case a.isSuspect(owner):
			continue
		}
		grant, err := a.askOwner(ctx, Node{owner, f.addresses[owner]}, ask)
		if err == nil {
			return grant
		}
	}
	return Grant{Wait: suspectTime}
}

// askOwner asks one owner. An owner that does not reply is suspected.
func (a *Allocator) askOwner(ctx context.Context, owner Node, ask Ask) (Grant, error) {
	reply, err := a.peers.Ask(ctx, owner, ask)
	if err != nil {
		a.Counts.Failed.Add(1)
		a.suspect(owner.Name)
		return Grant{}, err
	}
	if !reply.Known.Warmup {
		a.table.Merge(owner.Name, []Limit{reply.Known}, a.now())
	}
	reply.fromPeer = true
	return reply.Grant, nil
}

func (a *Allocator) isSuspect(node string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.now().Before(a.suspects[node])
}

func (a *Allocator) suspect(node string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.suspects[node] = a.now().Add(suspectTime)
}

// take takes a unit from this node's bucket of a limit, or returns the time until there will be one.
func (a *Allocator) take(key Key, rate, burst float64) Grant {
	a.mu.Lock()
	defer a.mu.Unlock()
	wait, ok := a.bucket(key, rate, burst).Take(a.now())
	return Grant{OK: ok, Wait: wait}
}

// tryTake takes a unit from this node's bucket of a limit if there is one.
func (a *Allocator) tryTake(key Key, rate, burst float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bucket(key, rate, burst).TryTake(a.now())
}

// bucket returns this node's bucket of a limit with the given rate and burst. A new one is empty. The
// caller holds the lock.
func (a *Allocator) bucket(key Key, rate, burst float64) *Bucket {
	bucket := a.buckets[key]
	if bucket == nil {
		bucket = NewBucket(rate, burst, a.now())
		a.buckets[key] = bucket
	}
	bucket.SetRate(rate, burst, a.now())
	return bucket
}
