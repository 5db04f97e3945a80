package proxy

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"time"
)

// claimIdempotencyKey records the idempotency key, once, before the first attempt. It returns false
// when an error response has been sent.
func (c *call) claimIdempotencyKey() bool {
	key := c.request.Header.Get(headerIdempotencyKey)
	if c.keyClaimed || c.relayed || key == "" || c.route.WorkKind.Idempotent || !c.route.WorkKind.Deduplicate {
		return true
	}
	if c.handler.options.Deduplicator == nil {
		c.gate.releaseUnit(c.chosen.target)
		return c.reject(http.StatusServiceUnavailable, time.Second, reasonNoDeduplicator)
	}
	created, err := c.handler.options.Deduplicator.CreateIfAbsent(c.ctx, c.keyRecordName(key))
	if err == nil && created {
		c.keyClaimed = true
		return true
	}
	c.gate.releaseUnit(c.chosen.target)
	if err != nil {
		return c.reject(http.StatusServiceUnavailable, time.Second, reasonKeyNotRecorded)
	}
	return c.fail(http.StatusConflict, 0, OutcomeUnknown, "idempotency key was used before")
}

// keyRecordName returns the digest of route, caller and key. Each is quoted, so that different
// triples cannot give the same input.
func (c *call) keyRecordName(key string) string {
	caller := ""
	if c.caller != nil {
		caller = c.caller.Name
	}
	digest := sha256.Sum256(fmt.Appendf(nil, "%q %q %q", c.route.Name, caller, key))
	return hex.EncodeToString(digest[:])
}
