package control

import (
	"strconv"
	"strings"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/membership"
	"github.com/fireflychute/fireflychute/pkg/message"
	"github.com/fireflychute/fireflychute/pkg/targets"
)

// Keys, key prefixes, numbers and intervals of facts.
const (
	factConfig    = "config"
	factVMs       = "vms"
	prefixLease   = "lease/"
	prefixRollout = "rollout/"
	prefixBlock   = "block/"
	prefixStatus  = "status/"
	prefixRelay   = "relay/"
	// firstFactNumber is the first version of a fact within its epoch. Block facts also use it as
	// their epoch, because a block is never replaced.
	firstFactNumber = 1
	// factPruneInterval is the interval at which facts of objects that no longer exist are removed.
	factPruneInterval = time.Minute
)

// Deliver handles a message from a peer. The reply is nil unless the message requests one.
func (c *Controller) Deliver(from string, m message.Message) *message.Message {
	switch {
	case m.ConfigFetch != nil:
		return c.query(func(time.Time) *message.Message { return c.configDelta(m.ConfigFetch.Have) })
	case m.VmFetch != nil:
		return c.query(func(time.Time) *message.Message { return c.vmReply() })
	case m.NodeReport != nil:
		c.post(func(now time.Time) { c.collectReport(now, *m.NodeReport) })
	default:
		c.post(func(now time.Time) {
			c.sendAll(c.members.Handle(now, from, m))
			c.applyChangedFacts(now)
		})
	}
	return nil
}

// query runs a handler on the control goroutine and waits for its reply.
func (c *Controller) query(handler func(now time.Time) *message.Message) *message.Message {
	reply := make(chan *message.Message, 1)
	c.post(func(now time.Time) { reply <- handler(now) })
	select {
	case m := <-reply:
		return m
	case <-c.ctx.Done():
		return nil
	}
}

func (c *Controller) sendAll(outgoing []membership.Outgoing) {
	for _, out := range outgoing {
		c.options.Peers.Send(out.To, out.Message)
	}
}

// publishFact publishes a fact and applies it on this node like a fact from a peer.
func (c *Controller) publishFact(now time.Time, fact membership.Fact) {
	c.sendAll(c.members.Publish(fact))
	c.applyChangedFacts(now)
}

// applyChangedFacts applies the facts that changed since the last call.
func (c *Controller) applyChangedFacts(now time.Time) {
	for _, fact := range c.members.DrainChangedFacts() {
		c.applyFact(now, fact)
	}
}

func (c *Controller) applyFact(now time.Time, fact membership.Fact) {
	switch {
	case strings.HasPrefix(fact.Key, membership.TargetPrefix):
		c.applyTargetFact(now, fact)
	case fact.Key == factConfig:
		c.sync.announceConfig(fact.Epoch, string(fact.Value))
	case fact.Key == factVMs:
		c.sync.announceVMs(int(fact.Epoch), string(fact.Value))
	case strings.HasPrefix(fact.Key, prefixRollout), strings.HasPrefix(fact.Key, prefixBlock), strings.HasPrefix(fact.Key, prefixRelay):
		c.dirty = true
	case strings.HasPrefix(fact.Key, prefixStatus):
		c.view.Load().notifyStatusChange()
	}
}

func (c *Controller) applyTargetFact(now time.Time, fact membership.Fact) {
	changes := c.registry.ApplyFact(now, targets.Fact{
		Key: strings.TrimPrefix(fact.Key, membership.TargetPrefix), Epoch: fact.Epoch, Version: fact.Version, Value: fact.Value,
	})
	c.handleTargetChanges(changes)
}

// publishTargetFacts publishes the facts that this node established about targets.
func (c *Controller) publishTargetFacts(now time.Time, facts []targets.Fact) {
	for _, fact := range facts {
		c.targetsDirty = true
		c.publishFact(now, membership.Fact{
			Key: membership.TargetPrefix + fact.Key, Epoch: fact.Epoch, Version: fact.Version, Value: fact.Value,
		})
	}
}

// pruneFacts removes the facts of rollouts and generations that are no longer declared, and the
// relay addresses of nodes that are no longer members. The number of target facts is limited by the
// membership itself.
func (c *Controller) pruneFacts(now time.Time) {
	if c.set == nil || now.Sub(c.factsPrunedAt) < factPruneInterval {
		return
	}
	c.factsPrunedAt = now
	declared := map[string]bool{}
	for name := range c.set.Rollouts {
		key := rolloutKey{name, c.set.Generations[api.KindRollout+"/"+name]}
		declared[key.factKey(prefixRollout)] = true
		declared[key.factKey(prefixBlock)] = true
	}
	members := map[string]bool{}
	for _, member := range c.members.Members() {
		members[prefixRelay+member.Name] = true
	}
	c.members.RetainFacts(func(key string) bool {
		if strings.HasPrefix(key, prefixRelay) {
			return members[key]
		}
		isRolloutFact := strings.HasPrefix(key, prefixRollout) || strings.HasPrefix(key, prefixBlock)
		return !isRolloutFact || declared[key] || c.isNewerGeneration(key)
	})
}

// isNewerGeneration reports whether a fact is about a rollout generation that this node has not
// received yet. A node that is behind must not remove a block of the next generation.
func (c *Controller) isNewerGeneration(key string) bool {
	_, rest, _ := strings.Cut(key, "/")
	separator := strings.LastIndex(rest, "/")
	if separator < 0 {
		return false
	}
	generation, err := strconv.Atoi(rest[separator+1:])
	return err == nil && generation > c.set.Generations[api.KindRollout+"/"+rest[:separator]]
}

// handleTargetChanges logs state changes of targets, requests a new snapshot, and deletes the data
// of targets that are no longer tracked.
func (c *Controller) handleTargetChanges(changes []targets.Change) {
	for _, change := range changes {
		c.targetsDirty = true
		if change.Kind == targets.Removed {
			delete(c.healthChecksByTarget, change.Address)
			delete(c.totalUnits, change.Address)
			delete(c.cold, change.Address)
		}
		if change.Kind == targets.BecameLeaving || change.Kind == targets.Returned {
			c.options.Log.Info().Str("target", change.Address).Str("reason", string(change.Reason)).
				Bool("leaving", change.Kind == targets.BecameLeaving).Msg("target state changed")
		}
	}
}
