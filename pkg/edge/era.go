package edge

import (
	"context"
	"time"

	"github.com/fireflychute/fireflychute/pkg/catalog"
	"github.com/fireflychute/fireflychute/pkg/replica"
	"github.com/fireflychute/fireflychute/pkg/revision"
	"github.com/fireflychute/fireflychute/pkg/topology"
)

// noteEra takes notice of the era in which the store answered, to this node or to one that it follows.
// When the store has come back from an older copy, all kinds are listed again, and watches that wait for
// changes since a revision of the era before are ended.
func (c *controller) noteEra(asOf revision.Revision) {
	if !asOf.EraAfter(c.storeEra) {
		return
	}
	if !c.storeEra.IsZero() {
		c.log.Warn().Stringer("before", c.storeEra).Stringer("now", asOf).Msg("store came back from an older copy; listing all kinds, and writing again what the copy lacks")
		c.stats.storeRestores.Add(1)
	}
	c.storeEra = asOf
	if c.watch.cancel == nil {
		return
	}
	for _, kind := range replica.Kinds() {
		c.watch.relist[kind] = true
	}
	c.watch.endWaits()
}

// isCurrent reports whether a kind was received in the store's present era. Before, nothing may be
// written: a revision of the era before may have been given to another object.
func (c *controller) isCurrent(kind replica.Kind) bool {
	return c.replica.IsLoaded(kind) && !c.storeEra.EraAfter(c.replica.AsOf(kind))
}

// restoreRollouts writes steps and statuses again that the store has lost with an older copy. Nobody else
// would write them.
func (c *controller) restoreRollouts(ctx context.Context, now time.Time) {
	for service, step := range c.view.steps {
		_, _, inForce := c.replica.Stored(replica.Steps, service)
		if !inForce && c.isCurrent(replica.Steps) && writeOf(c.rollouts.stepWrites, service).isReady(now, false) {
			c.log.Info().Str("service", service).Str("version", step.Version).Float64("share", step.Share).Msg("writing a rollout step again that the store has lost")
			c.storeStep(ctx, step)
		}
	}
	for _, order := range c.view.orders {
		if order.State != catalog.RolloutNew && c.hasLostStatus(order) {
			c.writeStatus(ctx, now, order, order.State)
		}
	}
}

// hasLostStatus reports whether the store has the order with the status of an earlier state.
func (c *controller) hasLostStatus(order topology.Order) bool {
	object, exists, _ := c.replica.Stored(replica.Rollouts, order.Name)
	if !exists {
		return false
	}
	stored, err := c.options.Codec.Rollout(object)
	return err == nil && stored.Version == order.Version && stored.State < order.State
}

// identify returns the order of an object. A restored store may have the order at another revision, or with
// an earlier status; both are told apart from a new order by what this node or the leader's step knows.
func (c *controller) identify(object replica.Object, rollout catalog.Rollout) topology.Order {
	order := topology.Order{Rollout: rollout, Name: object.Name, ID: orderID(object, rollout.Version), Created: object.Created}
	known, isKnown := c.view.orders[rollout.Service]
	step, hasStep := c.view.steps[rollout.Service]
	stepObject, _ := c.replica.Object(replica.Steps, rollout.Service)
	switch {
	case isKnown && known.Version == rollout.Version && known.Duration == rollout.Duration && object.Created.EraAfter(known.Created):
		order.ID = known.ID
	case hasStep && step.Version == rollout.Version && !object.Created.IsZero() && isWrittenFor(stepObject.Revision, object.Created):
		order.ID = step.Order
	}
	if isKnown && known.ID == order.ID {
		order.State = max(order.State, known.State)
	}
	return order
}

// isWrittenFor reports whether a step may have been written for an order with the creation revision: it was not
// written before it in the same era.
func isWrittenFor(step, created revision.Revision) bool {
	return !step.SameEra(created) || step.After(created)
}
