package edge

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/internal/wait"
	"github.com/fireflychute/fireflychute/pkg/catalog"
	"github.com/fireflychute/fireflychute/pkg/message"
	"github.com/fireflychute/fireflychute/pkg/peer"
	"github.com/fireflychute/fireflychute/pkg/quota"
)

// quotaPeers asks other nodes for units of limits. It has connections of its own: on those of the
// replica's fetches an ask would wait behind a fetch that waits for a change.
type quotaPeers struct{ client *peer.Client }

var errNoQuotaReply = errors.New("reply to a quota ask holds no quota reply")

// Ask implements quota.Peers.
func (p quotaPeers) Ask(ctx context.Context, to quota.Node, ask quota.Ask) (quota.Reply, error) {
	request := &message.QuotaAsk{Limit: encodeLimit(ask.Limit), CheckOnly: ask.CheckOnly, Relayed: ask.Relayed}
	reply, err := p.client.Call(ctx, to.Address, message.Message{QuotaAsk: request})
	if err != nil {
		p.client.Disconnect(to.Address)
		return quota.Reply{}, err
	}
	if reply.QuotaReply == nil {
		return quota.Reply{}, errNoQuotaReply
	}
	return quota.Reply{
		Known: decodeLimit(&reply.QuotaReply.Limit),
		Grant: quota.Grant{OK: reply.QuotaReply.Granted, Wait: time.Duration(reply.QuotaReply.WaitMs) * time.Millisecond},
	}, nil
}

// replyToAsk replies to a quota ask of another node. It runs on the connection's goroutine.
func (c *controller) replyToAsk(from string, ask *message.QuotaAsk) *message.Message {
	reply := c.units.HandleAsk(context.Background(), from, quota.Ask{
		Limit: decodeLimit(&ask.Limit), CheckOnly: ask.CheckOnly, Relayed: ask.Relayed,
	})
	return &message.Message{QuotaReply: &message.QuotaReply{
		Limit: encodeLimit(reply.Known), Granted: reply.OK, WaitMs: int(reply.Wait.Milliseconds()),
	}}
}

// maintainLimits takes over limits whose owner is gone, and verifies limits that this node owns,
// until the context ends.
func (c *controller) maintainLimits(ctx context.Context, verify func([]quota.Key)) {
	for ctx.Err() == nil {
		wait.For(ctx, quota.MaintainInterval)
		if unverified := c.units.Maintain(ctx); len(unverified) > 0 {
			verify(unverified)
		}
	}
}

// sweepLimits drops the limits of targets that are gone.
func (c *controller) sweepLimits(now time.Time, targets []catalog.Target) {
	listed := make(map[quota.Key]bool, len(targets))
	for i := range targets {
		listed[quota.Key{Target: targets[i].ID, Incarnation: targets[i].Incarnation}] = true
	}
	c.limits.Sweep(listed, now)
}

// shareNodes tells the allocator which nodes share limits.
func (c *controller) shareNodes() {
	nodes := make([]quota.Node, len(c.view.nodes))
	for i, node := range c.view.nodes {
		nodes[i] = quota.Node{Name: node.Name, Address: node.Address}
	}
	c.units.SetNodes(nodes)
}

// limitsExchange is the state of the exchange of limits with one followed node.
type limitsExchange struct {
	// sent is the change count of the limits that the node has received, seen identifies the ones
	// that it has sent.
	sent, seen uint64
}

// addLimits adds to a fetch the limits that the followed node may lack. Watchers send all they know,
// so that a change reaches each of them even if it was reported to one only; others send what they
// have heard themselves. It returns the change count that the node knows once it has replied.
func (c *controller) addLimits(fetch *message.ReplicaFetch, exchange limitsExchange) uint64 {
	count := c.limits.ChangeCount()
	fetch.LimitsSeen = exchange.seen
	if count == exchange.sent {
		return count
	}
	limits := c.limits.Own()
	if c.watch.designated {
		limits = c.limits.All()
	}
	fetch.Limits = encodeLimits(limits)
	return count
}

// mergeLimits applies the limits that a peer has sent and wakes up the fetches that wait for a change.
func (c *controller) mergeLimits(peer string, encoded []message.TargetLimit) {
	limits := make([]quota.Limit, len(encoded))
	for i := range encoded {
		limits[i] = decodeLimit(&encoded[i])
	}
	c.limits.Merge(peer, limits, time.Now())
	c.notifyLimits()
}

// notifyLimits wakes up the fetches that wait for a change if limits have changed.
func (c *controller) notifyLimits() {
	if count := c.limits.ChangeCount(); count != c.notifiedLimits {
		c.notifiedLimits = count
		c.notify()
	}
}

func encodeLimit(limit quota.Limit) message.TargetLimit {
	return message.TargetLimit{
		Target: limit.Target, Incarnation: limit.Incarnation, Warmup: limit.Warmup, Limited: limit.Limited, Rate: limit.Rate,
		Version: limit.Version,
	}
}

func decodeLimit(encoded *message.TargetLimit) quota.Limit {
	return quota.Limit{
		Key: quota.Key{Target: encoded.Target, Incarnation: encoded.Incarnation, Warmup: encoded.Warmup}, Limited: encoded.Limited,
		Rate: encoded.Rate, Version: encoded.Version,
	}
}

func encodeLimits(limits []quota.Limit) []message.TargetLimit {
	encoded := make([]message.TargetLimit, len(limits))
	for i, limit := range limits {
		encoded[i] = encodeLimit(limit)
	}
	return encoded
}
