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

// Keys of facts, and prefixes of keys.
const (
	factConfig      = "config"
	factVMs         = "vms"
	prefixLease     = "lease/"
	prefixRollout   = "rollout/"
	prefixBlock     = "block/"
	prefixStatus    = "status/"
	prefixRelay     = "relay/"
	firstFactNumber = 1
	// retainTime is how often facts of objects that are gone are removed.
	retainTime = time.Minute
)

// Deliver handles a message from a peer. The answer is nil unless the message
// asks for one.
func (c *Controller) Deliver(from string, m message.Message) *message.Message {
	switch {
	case m.ConfigFetch != nil:
		return c.ask(func(time.Time) *message.Message { return c.configDelta(m.ConfigFetch.Have) })
	case m.VmFetch != nil:
		return c.ask(func(time.Time) *message.Message { return c.vmAnswer() })
	case m.NodeReport != nil:
		c.post(func(now time.Time) { c.takeReport(now, *m.NodeReport) })
	default:
		c.post(func(now time.Time) {
			c.send(c.members.Handle(now, from, m))
			c.takeFacts(now)
		})
	}
	return nil
}

// ask runs a question on the control goroutine and waits for its answer.
func (c *Controller) ask(question func(now time.Time) *message.Message) *message.Message {
	answer := make(chan *message.Message, 1)
	c.post(func(now time.Time) { answer <- question(now) })
	select {
	case m := <-answer:
		return m
	case <-c.ctx.Done():
		return nil
	}
}

func (c *Controller) send(outgoing []membership.Outgoing) {
	for _, out := range outgoing {
		c.options.Peers.Send(out.To, out.Message)
	}
}

// publishFact publishes a fact and takes it in as if a peer had sent it.
func (c *Controller) publishFact(now time.Time, fact membership.Fact) {
	c.send(c.members.Publish(fact))
	c.takeFacts(now)
}

// takeFacts applies the facts that changed.
func (c *Controller) takeFacts(now time.Time) {
	for _, fact := range c.members.TakeChanged() {
		c.takeFact(now, fact)
	}
}

func (c *Controller) takeFact(now time.Time, fact membership.Fact) {
	switch {
	case strings.HasPrefix(fact.Key, membership.TargetPrefix):
		c.takeTargetFact(now, fact)
	case fact.Key == factConfig:
		c.sync.announced(fact.Epoch, string(fact.Value))
	case fact.Key == factVMs:
		c.sync.announcedVMs(int(fact.Epoch), string(fact.Value))
	case strings.HasPrefix(fact.Key, prefixRollout), strings.HasPrefix(fact.Key, prefixBlock), strings.HasPrefix(fact.Key, prefixRelay):
		c.dirty = true
	case strings.HasPrefix(fact.Key, prefixStatus):
		c.view.Load().statusChanged()
	}
}

func (c *Controller) takeTargetFact(now time.Time, fact membership.Fact) {
	changes := c.registry.ApplyFact(now, targets.Fact{
		Key: strings.TrimPrefix(fact.Key, membership.TargetPrefix), Epoch: fact.Epoch, Version: fact.Version, Value: fact.Value,
	})
	c.noteTargets(changes)
}

// shareTargets publishes what this node found out about targets.
func (c *Controller) shareTargets(now time.Time, facts []targets.Fact) {
	for _, fact := range facts {
		c.targetsDirty = true
		c.publishFact(now, membership.Fact{
			Key: membership.TargetPrefix + fact.Key, Epoch: fact.Epoch, Version: fact.Version, Value: fact.Value,
		})
	}
}

// retainFacts removes the facts of rollouts and generations that are no longer
// declared. Facts of targets are bounded by the membership's own limit.
func (c *Controller) retainFacts(now time.Time) {
	if c.set == nil || now.Sub(c.factsRetainedAt) < retainTime {
		return
	}
	c.factsRetainedAt = now
	declared := map[string]bool{}
	for name := range c.set.Rollouts {
		key := rolloutKey{name, c.set.Generations[api.KindRollout+"/"+name]}
		declared[key.fact(prefixRollout)] = true
		declared[key.fact(prefixBlock)] = true
	}
	members := map[string]bool{}
	for _, member := range c.members.Members() {
		members[prefixRelay+member.Name] = true
	}
	c.members.Retain(func(key string) bool {
		if strings.HasPrefix(key, prefixRelay) {
			return members[key]
		}
		ofRollout := strings.HasPrefix(key, prefixRollout) || strings.HasPrefix(key, prefixBlock)
		return !ofRollout || declared[key] || c.newerGeneration(key)
	})
}

// newerGeneration tells that a fact is about a generation that this node does not
// have yet: a node that is behind must not drop a block of the next declaration.
func (c *Controller) newerGeneration(key string) bool {
	_, rest, _ := strings.Cut(key, "/")
	at := strings.LastIndex(rest, "/")
	if at < 0 {
		return false
	}
	generation, err := strconv.Atoi(rest[at+1:])
	return err == nil && generation > c.set.Generations[api.KindRollout+"/"+rest[:at]]
}

// noteTargets logs changes of targets' states.
func (c *Controller) noteTargets(changes []targets.Change) {
	for _, change := range changes {
		c.targetsDirty = true
		if change.Kind == targets.Removed {
			delete(c.probesByTarget, change.Address)
			delete(c.totals, change.Address)
			delete(c.cold, change.Address)
		}
		if change.Kind == targets.BecameLeaving || change.Kind == targets.Returned {
			c.options.Log.Info().Str("target", change.Address).Str("reason", string(change.Reason)).
				Bool("leaving", change.Kind == targets.BecameLeaving).Msg("target state changed")
		}
	}
}
