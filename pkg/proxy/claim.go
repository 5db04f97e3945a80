package proxy

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"time"
)

// claim records the idempotency key, once, before the first sending.
func (c *call) claim() bool {
	key := c.request.Header.Get(headerKey)
	if c.claimed || c.relayed || key == "" || c.route.WorkKind.Idempotent || !c.route.WorkKind.Deduplicate {
		return true
	}
	if c.handler.options.Deduplicator == nil {
		c.gate.release(c.chosen.target)
		return c.refuse(http.StatusServiceUnavailable, time.Second, reasonNoRecord)
	}
	created, err := c.handler.options.Deduplicator.CreateIfAbsent(c.ctx, c.keyName(key))
	if err == nil && created {
		c.claimed = true
		return true
	}
	c.gate.release(c.chosen.target)
	if err != nil {
		return c.refuse(http.StatusServiceUnavailable, time.Second, reasonNotRecorded)
	}
	return c.fail(http.StatusConflict, 0, OutcomeUnknown, "idempotency key was used before")
}

// keyName is the digest of route, caller and key, each with its length.
func (c *call) keyName(key string) string {
	caller := ""
	if c.caller != nil {
		caller = c.caller.Name
	}
	digest := sha256.Sum256(fmt.Appendf(nil, "%q %q %q", c.route.Name, caller, key))
	return hex.EncodeToString(digest[:])
}
