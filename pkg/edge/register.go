package edge

import (
	"bytes"
	"context"
	"time"

	"github.com/fireflychute/fireflychute/pkg/replica"
)

const (
	writeTimeout = 2 * time.Second
	// writeInterval is the minimum time between two writes of the same object. It doubles
	// with each failure up to maxWriteInterval.
	writeInterval    = 700 * time.Millisecond
	maxWriteInterval = 6 * time.Second
)

// writeState limits the writes of one object to one at a time, with backoff.
type writeState struct {
	inFlight  bool
	notBefore time.Time
	failures  int
}

// ensureRegistered writes the node's own entry if the store lacks it, it cannot be decoded, or holds
// another address or data centre.
func (c *controller) ensureRegistered(ctx context.Context, now time.Time) {
	if !c.isCurrent(replica.Nodes) || c.registration.inFlight || now.Before(c.registration.notBefore) {
		return
	}
	spec, err := c.options.Codec.EncodeNode(c.self)
	if err != nil {
		c.log.Error().Err(err).Msg("own node entry cannot be encoded; node is not registered")
		return
	}
	object, exists, _ := c.replica.Stored(replica.Nodes, c.self.Name)
	if exists && bytes.Equal(bytes.TrimSpace(object.Spec), spec) {
		return
	}
	if exists {
		registered, err := c.options.Codec.Node(object)
		if err == nil && registered.Address == c.self.Address && registered.DataCentre == c.self.DataCentre {
			return // written by an earlier start of this node and still valid
		}
	}
	c.write(ctx, &c.registration, replica.Nodes, func(ctx context.Context) (replica.Object, error) {
		if exists {
			return c.options.Store.Replace(ctx, replica.Nodes, c.self.Name, object.Revision, spec)
		}
		return c.options.Store.Create(ctx, replica.Nodes, c.self.Name, spec)
	})
}

// write makes one write to the store in the background and applies its result to the
// replica. After a conflict or a lost response the caller decides again from the replica.
func (c *controller) write(ctx context.Context, state *writeState, kind replica.Kind, call func(ctx context.Context) (replica.Object, error)) {
	state.inFlight = true
	go func() {
		limited, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		object, err := call(limited)
		c.do(ctx, func() {
			now := time.Now()
			c.stats.storeCalls.Add(1)
			state.inFlight, state.notBefore = false, now.Add(min(writeInterval<<state.failures, maxWriteInterval))
			if err != nil {
				c.stats.storeCallsFailed.Add(1)
				state.failures = min(state.failures+1, 6)
				c.log.Warn().Err(err).Int("kind", int(kind)).Msg("write to the store failed; retrying from the current replica")
				return
			}
			state.failures = 0
			if object.Name != "" && !object.Revision.IsZero() {
				c.dirty = c.replica.Put(now, kind, object) || c.dirty
			}
		})
	}()
}
