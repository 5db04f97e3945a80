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
)

const (
	// fetchWait is how long a followed node may wait for a change before it answers.
	fetchWait = 400 * time.Millisecond
	// fetchTimeout is when a followed node counts as lost.
	fetchTimeout = 1200 * time.Millisecond
	// startPause is the pause after a fetch that failed while the node knows nothing yet:
	// the followed node may be starting, too.
	startPause = 40 * time.Millisecond
	// formingTime is how long the nodes of a system that starts for the first time take
	// to make themselves known. Its seeds watch meanwhile.
	formingTime = 2 * time.Second
	// turnTime is the time between two nodes that begin to look for a store that is away.
	turnTime = 250 * time.Millisecond
)

// plan starts and stops watches and follows as the fleet requires.
func (c *controller) plan(ctx context.Context, now time.Time) {
	unserved := now.Sub(c.heard) > staleTime || !c.isComplete()
	alone := unserved && !c.awaitsSeeds(now) && !c.awaitsTurn(now)
	plan := follow.Decide(now, c.self.Name, c.view.ranked, c.sources, c.watch.failing || c.watch.silent, alone)
	if unserved || len(plan.Upstreams) == 0 {
		plan.Upstreams = append(plan.Upstreams, c.seedNodes()...)
	}
	if c.isForming(now) {
		plan.Watch = alone || c.isSeed()
	}
	if plan.Lead && !c.rollouts.leading {
		c.rollouts.leadSince = now
	}
	c.rollouts.leading = plan.Lead
	c.watch.ranked = plan.Ranked
	switch {
	case plan.Watch && c.watch.cancel == nil:
		c.log.Info().Bool("alone", alone).Msg("node watches the store")
		c.startWatching(ctx)
	case !plan.Watch && c.watch.cancel != nil:
		c.log.Info().Msg("node no longer watches the store")
		c.stopWatching()
		c.watch.failing = false
	}
	wanted := map[string]bool{}
	for _, node := range plan.Upstreams {
		wanted[node.Address] = true
		if c.follows[node.Address] == nil {
			following, cancel := context.WithCancel(ctx)
			c.follows[node.Address] = cancel
			go c.follow(following, node)
		}
	}
	for address, cancel := range c.follows {
		if !wanted[address] {
			cancel()
			delete(c.follows, address)
		}
	}
}

// isForming tells whether the whole system has just started for the first time. The list
// of nodes is still short then, and each node would find itself among the first.
func (c *controller) isForming(now time.Time) bool {
	return c.options.Settings.FirstStart && now.Sub(c.started) < formingTime
}

func (c *controller) isSeed() bool { return slices.Contains(c.seeds, c.self.Address) }

// awaitsSeeds tells whether the node has just started and may get all it needs from
// another node. Seeds themselves read the store at once.
func (c *controller) awaitsSeeds(now time.Time) bool {
	wait := seedTime
	if c.options.Settings.FirstStart {
		wait = firstSeedTime
	}
	return now.Sub(c.started) < wait && len(c.seeds) > 0 && !c.isSeed()
}

// awaitsTurn tells whether the node leaves it to others to look for the store. While the
// store is away for all, nodes that hear each other begin to look for it one by one.
func (c *controller) awaitsTurn(now time.Time) bool {
	if !c.isComplete() || !c.hearsOthers(now) {
		return false
	}
	at := slices.IndexFunc(c.view.ranked, func(node catalog.Node) bool { return node.Name == c.self.Name })
	return now.Sub(c.heard)-staleTime < time.Duration(at)*turnTime
}

// hearsOthers tells whether a followed node has answered lately.
func (c *controller) hearsOthers(now time.Time) bool {
	return now.Sub(c.answered) < fetchTimeout
}

// seedNodes are the nodes from the settings, which are followed until others are known.
func (c *controller) seedNodes() []catalog.Node {
	var nodes []catalog.Node
	for _, seed := range c.seeds {
		if seed != c.self.Address {
			nodes = append(nodes, catalog.Node{Name: seed, Address: seed})
		}
	}
	return nodes
}

// follow takes changes from a node until the context ends.
func (c *controller) follow(ctx context.Context, node catalog.Node) {
	for ctx.Err() == nil {
		var fetch *message.ReplicaFetch
		if !c.do(ctx, func() { fetch = c.newFetch() }) {
			return
		}
		answer, err := c.fetch(ctx, node.Address, fetch)
		if ctx.Err() != nil {
			return
		}
		var deltas []message.ReplicaDelta
		if err == nil {
			deltas, err = unpack(answer)
		}
		complete := true
		c.do(ctx, func() {
			c.take(time.Now(), node, answer, deltas, err)
			complete = c.isComplete()
		})
		switch {
		case err != nil && complete:
			wait.For(ctx, minBackoff)
		case err != nil:
			wait.For(ctx, startPause)
		}
	}
}

func (c *controller) newFetch() *message.ReplicaFetch {
	fetch := &message.ReplicaFetch{
		Incarnation: uint64(c.self.Incarnation), WaitMs: int(fetchWait.Milliseconds()), Counts: c.localCounts(),
	}
	for _, kind := range replica.Kinds() {
		fetch.Have = append(fetch.Have, message.ReplicaRevision{Known: c.replica.Known(kind), AsOf: c.replica.AsOf(kind)})
	}
	return fetch
}

func (c *controller) fetch(ctx context.Context, address string, fetch *message.ReplicaFetch) (*message.ReplicaAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	received, err := c.peers.Call(ctx, address, message.Message{ReplicaFetch: fetch, Address: c.self.Address})
	if err != nil {
		c.peers.Disconnect(address)
		return nil, err
	}
	if received.ReplicaAnswer == nil {
		return nil, errNoAnswer
	}
	return received.ReplicaAnswer, nil
}

// take merges the answer of a followed node.
func (c *controller) take(now time.Time, node catalog.Node, answer *message.ReplicaAnswer, deltas []message.ReplicaDelta, err error) {
	state := c.sources[node.Name]
	if err != nil {
		if !state.IsLost() {
			c.log.Warn().Err(err).Str("peer", node.Name).Msg("followed node lost")
		}
		c.sources[node.Name] = state.Lost(now)
		return
	}
	c.answered = now
	age := time.Duration(answer.StaleMs) * time.Millisecond
	switch {
	case age > staleTime:
		c.sources[node.Name] = state.Stale(now)
		if !c.reachesStore() {
			c.watch.troubleAt = now
		}
	case answer.Silent:
		c.sources[node.Name] = state.Stale(now)
	case state.IsLost():
		c.log.Info().Str("peer", node.Name).Dur("age", age).Msg("followed node regained")
		c.sources[node.Name] = follow.State{}
	}
	if at := now.Add(-age); at.After(c.heard) {
		c.heard = at
	}
	for i := range deltas {
		delta, ok := deltaOf(&deltas[i])
		if !ok {
			c.log.Warn().Str("peer", node.Name).Msg("unknown kind in the answer of a node")
			continue
		}
		c.dirty = c.replica.Merge(now, delta) || c.dirty
	}
}

func deltaOf(wire *message.ReplicaDelta) (replica.Delta, bool) {
	if wire.Kind < 0 || wire.Kind >= len(replica.Kinds()) {
		return replica.Delta{}, false
	}
	delta := replica.Delta{Kind: replica.Kind(wire.Kind), Full: wire.Full, AsOf: wire.AsOf, Removed: wire.Removed}
	for i := range wire.Objects {
		o := &wire.Objects[i]
		delta.Objects = append(delta.Objects, replica.Object{
			Name: o.Name, Revision: o.Revision, Created: o.Created, Spec: []byte(o.Spec), Status: []byte(o.Status), Lapsed: o.Lapsed,
		})
	}
	return delta, true
}

func messageOf(delta replica.Delta) message.ReplicaDelta {
	wire := message.ReplicaDelta{Kind: int(delta.Kind), Full: delta.Full, AsOf: delta.AsOf, Removed: delta.Removed}
	for _, o := range delta.Objects {
		wire.Objects = append(wire.Objects, message.ReplicaObject{
			Name: o.Name, Revision: o.Revision, Created: o.Created, Spec: string(o.Spec), Status: string(o.Status), Lapsed: o.Lapsed,
		})
	}
	return wire
}

// deliver answers a message of another node; it runs on the connection's goroutine.
func (c *controller) deliver(from string, received message.Message) *message.Message {
	fetch := received.ReplicaFetch
	if fetch == nil || len(fetch.Have) != len(replica.Kinds()) {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	wait := time.NewTimer(min(time.Duration(fetch.WaitMs)*time.Millisecond, fetchWait))
	defer wait.Stop()
	c.do(ctx, func() { c.noteReport(from, fetch) })
	for {
		next := c.waitChannel()
		var answer *message.ReplicaAnswer
		var changed bool
		var key string
		if !c.do(ctx, func() {
			answer, changed = c.answerTo(time.Now(), fetch)
			key = c.positionKey(fetch)
		}) {
			return nil
		}
		if changed {
			packed, err := c.packer.pack(key, answer)
			if err != nil {
				c.log.Error().Err(err).Str("peer", from).Msg("answer to a fetch cannot be sent")
				return nil
			}
			return &message.Message{ReplicaAnswer: packed}
		}
		select {
		case <-next:
		case <-wait.C:
			return &message.Message{ReplicaAnswer: answer}
		case <-ctx.Done():
			return nil
		}
	}
}

// answerTo returns what the other node lacks. changed is false when that is only the
// revisions up to which kinds are known, which need not be told at once.
func (c *controller) answerTo(now time.Time, fetch *message.ReplicaFetch) (answer *message.ReplicaAnswer, changed bool) {
	answer = &message.ReplicaAnswer{StaleMs: int(c.staleness(now).Milliseconds()), Silent: c.watch.silent}
	for i, have := range fetch.Have {
		delta, ok := c.replica.Since(replica.Kind(i), have.AsOf, have.Known)
		if ok {
			answer.Deltas = append(answer.Deltas, messageOf(delta))
			changed = changed || !delta.IsEmpty()
		}
	}
	return answer, changed
}

// positionKey identifies what an answer to a fetch holds: what the other node knows
// and what this one does.
func (c *controller) positionKey(fetch *message.ReplicaFetch) string {
	key := make([]byte, 0, 16*len(fetch.Have))
	for i, have := range fetch.Have {
		key = strconv.AppendBool(key, have.Known)
		key = strconv.AppendUint(append(key, ' '), have.AsOf, 16)
		key = strconv.AppendUint(append(key, ' '), c.replica.AsOf(replica.Kind(i)), 16)
	}
	return string(key)
}

// staleness is the age of the last contact with the store as other nodes are to see
// it: a node whose own calls fail is no source, however recent its last contact.
func (c *controller) staleness(now time.Time) time.Duration {
	age := min(now.Sub(c.heard), time.Hour)
	if c.watch.failing {
		return max(age, 2*staleTime)
	}
	return age
}
