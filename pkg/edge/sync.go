package edge

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/fireflychute/fireflychute/internal/wait"
	"github.com/fireflychute/fireflychute/pkg/catalog"
	"github.com/fireflychute/fireflychute/pkg/follow"
	"github.com/fireflychute/fireflychute/pkg/message"
	"github.com/fireflychute/fireflychute/pkg/replica"
	"github.com/fireflychute/fireflychute/pkg/revision"
)

const (
	// fetchWait is how long a followed node may wait for a change before it replies.
	fetchWait = 400 * time.Millisecond
	// fetchTimeout is the time without a reply after which a followed node counts as
	// unavailable.
	fetchTimeout = 1200 * time.Millisecond
	// startBackoff is the pause after a failed fetch while the replica is incomplete: the
	// followed node may be starting, too.
	startBackoff = 40 * time.Millisecond
	// formingPeriod is how long the nodes take to register when the whole system starts for
	// the first time. Its seeds watch the store meanwhile.
	formingPeriod = 2 * time.Second
	// storeProbeStagger is the delay between successive nodes that start to probe an
	// unreachable store.
	storeProbeStagger = 250 * time.Millisecond
)

// applyPlan starts and stops the node's watches of the store and its fetches from other
// nodes according to follow.Decide.
func (c *controller) applyPlan(ctx context.Context, now time.Time) {
	stale := now.Sub(c.storeSeenAt) > staleThreshold || !c.hasAllKinds()
	noUsableSource := stale && !c.awaitsSeeds(now) && !c.defersStoreProbe(now)
	plan := follow.Decide(now, c.self.Name, c.view.ranked, c.sourceStates, c.watch.failing || c.watch.probeFailing, noUsableSource)
	if stale || len(plan.Upstreams) == 0 {
		plan.Upstreams = append(plan.Upstreams, c.seedNodes()...)
	}
	if c.isForming(now) {
		plan.Watch = noUsableSource || c.isSeed()
	}
	if plan.Leader && !c.rollouts.isLeader {
		c.rollouts.leaderSince = now
	}
	c.rollouts.isLeader = plan.Leader
	c.watch.designated = plan.Designated
	switch {
	case plan.Watch && c.watch.cancel == nil:
		c.log.Info().Bool("alone", noUsableSource).Msg("starting watches of the store")
		c.startWatching(ctx)
	case !plan.Watch && c.watch.cancel != nil:
		c.log.Info().Msg("stopping watches of the store; changes come from other nodes")
		c.stopWatching()
		c.watch.failing = false
	}
	wanted := map[string]bool{}
	for _, node := range plan.Upstreams {
		wanted[node.Address] = true
		if c.followCancels[node.Address] == nil {
			following, cancel := context.WithCancel(ctx)
			c.followCancels[node.Address] = cancel
			go c.followNode(following, node)
		}
	}
	for address, cancel := range c.followCancels {
		if !wanted[address] {
			cancel()
			delete(c.followCancels, address)
		}
	}
}

// isForming reports whether the whole system has just started for the first time. The node
// list is still short then, so that each node would rank itself among the watchers.
func (c *controller) isForming(now time.Time) bool {
	return c.options.Settings.FirstStart && now.Sub(c.started) < formingPeriod
}

func (c *controller) isSeed() bool { return slices.Contains(c.seeds, c.self.Address) }

// awaitsSeeds reports whether the node has just started and may receive all data from
// another node. Seeds themselves read the store at once.
func (c *controller) awaitsSeeds(now time.Time) bool {
	maxWait := seedWait
	if c.options.Settings.FirstStart {
		maxWait = firstStartSeedWait
	}
	return now.Sub(c.started) < maxWait && len(c.seeds) > 0 && !c.isSeed()
}

// defersStoreProbe reports whether the node leaves probing the store to other nodes. While no
// node reaches the store, nodes in contact with each other start to probe it one by one, in
// the order of their ranks.
func (c *controller) defersStoreProbe(now time.Time) bool {
	if !c.hasAllKinds() || !c.hasResponsiveSource(now) {
		return false
	}
	position := slices.IndexFunc(c.view.ranked, func(node catalog.Node) bool { return node.Name == c.self.Name })
	return now.Sub(c.storeSeenAt)-staleThreshold < time.Duration(position)*storeProbeStagger
}

// hasResponsiveSource reports whether a followed node has replied within fetchTimeout.
func (c *controller) hasResponsiveSource(now time.Time) bool {
	return now.Sub(c.sourceSeenAt) < fetchTimeout
}

// seedNodes returns the seeds from the settings. They are followed while the replica is stale
// or incomplete, and while there is no other node to follow.
func (c *controller) seedNodes() []catalog.Node {
	var nodes []catalog.Node
	for _, seed := range c.seeds {
		if seed != c.self.Address {
			nodes = append(nodes, catalog.Node{Name: seed, Address: seed})
		}
	}
	return nodes
}

// followNode fetches changes from a node until the context ends.
func (c *controller) followNode(ctx context.Context, node catalog.Node) {
	var exchange limitsExchange
	for ctx.Err() == nil {
		var fetch *message.ReplicaFetch
		var limitsSent uint64
		if !c.do(ctx, func() {
			fetch = c.newFetch()
			limitsSent = c.addLimits(fetch, exchange)
		}) {
			return
		}
		reply, err := c.fetch(ctx, node.Address, fetch)
		if ctx.Err() != nil {
			return
		}
		var deltas []message.ReplicaDelta
		if err == nil {
			deltas, err = decodeDeltas(reply)
		}
		complete := true
		c.do(ctx, func() {
			c.applyReply(time.Now(), node, reply, deltas, err)
			complete = c.hasAllKinds()
		})
		exchange = limitsExchange{} // a followed node that has restarted knows no limits
		if err == nil {
			exchange = limitsExchange{sent: limitsSent, seen: reply.LimitsAsOf}
		}
		switch {
		case err != nil && complete:
			wait.For(ctx, minBackoff)
		case err != nil:
			wait.For(ctx, startBackoff)
		}
	}
}

func (c *controller) newFetch() *message.ReplicaFetch {
	fetch := &message.ReplicaFetch{
		Incarnation: uint64(c.self.Incarnation), WaitMs: int(fetchWait.Milliseconds()),
		Counts: c.localCounts(), Orders: c.orderReports(time.Now()),
	}
	for _, kind := range replica.Kinds() {
		have := c.replica.Position(kind)
		fetch.Have = append(fetch.Have, message.ReplicaRevision{Known: have.Loaded, AsOf: have.AsOf.Encode(), Sequence: have.Generation.Sequence})
	}
	return fetch
}

func (c *controller) fetch(ctx context.Context, address string, fetch *message.ReplicaFetch) (*message.ReplicaAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := c.peers.Call(ctx, address, message.Message{ReplicaFetch: fetch, Address: c.self.Address})
	if err != nil {
		c.peers.Disconnect(address)
		return nil, err
	}
	if reply.ReplicaAnswer == nil {
		return nil, errNoReply
	}
	return reply.ReplicaAnswer, nil
}

// applyReply merges the reply of a followed node into the replica and updates the state of
// that source.
func (c *controller) applyReply(now time.Time, node catalog.Node, reply *message.ReplicaAnswer, deltas []message.ReplicaDelta, err error) {
	state := c.sourceStates[node.Name]
	if err != nil {
		if !state.IsUnavailable() {
			c.log.Warn().Err(err).Str("peer", node.Name).Msg("fetch from followed node failed; node marked unavailable")
		}
		c.sourceStates[node.Name] = state.AfterFailure(now)
		return
	}
	c.sourceSeenAt = now
	c.mergeLimits(node.Name, reply.Limits)
	age := time.Duration(reply.StaleMs) * time.Millisecond
	switch {
	case age > staleThreshold:
		c.sourceStates[node.Name] = state.AfterStaleReply(now)
		if !c.isStoreReachable() {
			c.watch.lastFailureAt = now
		}
	case reply.Silent:
		c.sourceStates[node.Name] = state.AfterStaleReply(now)
	case state.IsUnavailable():
		c.log.Info().Str("peer", node.Name).Dur("age", age).Msg("followed node available again")
		c.sourceStates[node.Name] = follow.SourceState{}
	}
	if seenAt := now.Add(-age); seenAt.After(c.storeSeenAt) {
		c.storeSeenAt = seenAt
	}
	for i := range deltas {
		delta, ok := decodeDelta(&deltas[i])
		if !ok {
			c.log.Warn().Str("peer", node.Name).Msg("ignoring delta of unknown kind in replica reply")
			continue
		}
		c.noteEra(delta.AsOf)
		c.dirty = c.replica.Merge(now, delta) || c.dirty
	}
}

func decodeDelta(encoded *message.ReplicaDelta) (replica.Delta, bool) {
	if encoded.Kind < 0 || encoded.Kind >= len(replica.Kinds()) {
		return replica.Delta{}, false
	}
	delta := replica.Delta{Kind: replica.Kind(encoded.Kind), Full: encoded.Full, AsOf: revision.Decode(encoded.AsOf), Removed: encoded.Removed}
	for i := range encoded.Objects {
		o := &encoded.Objects[i]
		delta.Objects = append(delta.Objects, replica.Object{
			Name: o.Name, Revision: revision.Decode(o.Revision), Created: revision.Decode(o.Created),
			Generation: replica.Generation{Incarnation: o.Incarnation, Sequence: o.Sequence},
			Spec:       []byte(o.Spec), Status: []byte(o.Status), Lapsed: o.Lapsed, Withheld: o.Withheld,
		})
	}
	return delta, true
}

func encodeDelta(delta replica.Delta) message.ReplicaDelta {
	encoded := message.ReplicaDelta{Kind: int(delta.Kind), Full: delta.Full, AsOf: delta.AsOf.Encode(), Removed: delta.Removed}
	for _, o := range delta.Objects {
		encoded.Objects = append(encoded.Objects, message.ReplicaObject{
			Name: o.Name, Revision: o.Revision.Encode(), Created: o.Created.Encode(),
			Incarnation: o.Generation.Incarnation, Sequence: o.Generation.Sequence,
			Spec: string(o.Spec), Status: string(o.Status), Lapsed: o.Lapsed, Withheld: o.Withheld,
		})
	}
	return encoded
}

// handleMessage replies to a replica fetch or a quota ask of another node. It runs on the
// connection's goroutine and returns nil, no reply, for any other message.
func (c *controller) handleMessage(from string, received message.Message) *message.Message {
	if received.QuotaAsk != nil {
		return c.replyToAsk(from, received.QuotaAsk)
	}
	fetch := received.ReplicaFetch
	if fetch == nil || len(fetch.Have) != len(replica.Kinds()) {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	timer := time.NewTimer(min(time.Duration(fetch.WaitMs)*time.Millisecond, fetchWait))
	defer timer.Stop()
	c.do(ctx, func() {
		c.recordReport(from, fetch)
		c.recordOrders(time.Now(), from, fetch.Orders)
		c.mergeLimits(from, fetch.Limits)
	})
	for {
		changeSignal := c.changeSignal()
		var reply *message.ReplicaAnswer
		var changed bool
		var key string
		if !c.do(ctx, func() {
			reply, changed = c.replyTo(time.Now(), fetch)
			key = c.replyKey(fetch)
		}) {
			return nil
		}
		if changed {
			encoded, err := c.replyEncoder.encode(key, reply)
			if err != nil {
				c.log.Error().Err(err).Str("peer", from).Msg("reply to a replica fetch cannot be encoded; no reply sent")
				return nil
			}
			return &message.Message{ReplicaAnswer: encoded}
		}
		select {
		case <-changeSignal:
		case <-timer.C:
			return &message.Message{ReplicaAnswer: reply}
		case <-ctx.Done():
			return nil
		}
	}
}

// replyTo returns the changes that the other node lacks. changed is false if the reply only
// advances revisions, which can wait for the next change.
func (c *controller) replyTo(now time.Time, fetch *message.ReplicaFetch) (reply *message.ReplicaAnswer, changed bool) {
	reply = &message.ReplicaAnswer{StaleMs: int(c.storeAge(now).Milliseconds()), Silent: c.watch.probeFailing}
	for i, have := range fetch.Have {
		delta, ok := c.replica.DeltaSince(replica.Kind(i), replica.Position{
			Loaded: have.Known, AsOf: revision.Decode(have.AsOf), Generation: replica.Generation{Sequence: have.Sequence},
		})
		if ok {
			reply.Deltas = append(reply.Deltas, encodeDelta(delta))
			changed = changed || !delta.IsEmpty()
		}
	}
	reply.LimitsAsOf = c.limits.ChangeCount()
	if reply.LimitsAsOf != fetch.LimitsSeen {
		reply.Limits = encodeLimits(c.limits.All())
		changed = changed || len(reply.Limits) > 0
	}
	return reply, changed
}

// replyKey identifies the content of a reply to a fetch by the revisions of both nodes and the
// changes that this node has made to its replica.
func (c *controller) replyKey(fetch *message.ReplicaFetch) string {
	key := make([]byte, 0, 16*len(fetch.Have))
	for i, have := range fetch.Have {
		key = strconv.AppendBool(key, have.Known)
		key = strconv.AppendUint(append(key, ' '), have.AsOf, 16)
		key = strconv.AppendUint(append(key, ' '), have.Sequence, 16)
		key = strconv.AppendUint(append(key, ' '), c.replica.AsOf(replica.Kind(i)).Encode(), 16)
		key = strconv.AppendUint(append(key, ' '), c.replica.ChangeCount(replica.Kind(i)), 16)
	}
	return string(key)
}

// storeAge returns the age of the last contact with the store as reported to other nodes. A
// node whose own calls fail reports a stale age, so that others do not use it as a source
// however recent its last contact is.
func (c *controller) storeAge(now time.Time) time.Duration {
	age := min(now.Sub(c.storeSeenAt), time.Hour)
	if c.watch.failing {
		return max(age, 2*staleThreshold)
	}
	return age
}
