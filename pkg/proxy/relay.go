package proxy

import (
	"context"
	"net/http"

	"github.com/fireflychute/fireflychute/pkg/admission"
	"github.com/fireflychute/fireflychute/pkg/snapshot"
)

// relayedKey marks the context of a call that another node handed over.
type relayedKey struct{}

// Relayed returns the handler of the listener on which other nodes hand over
// calls. It must not be reachable for callers, because it takes the caller's group
// and the version from the call.
func (h *Handler) Relayed() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), relayedKey{}, true)))
	})
}

// relayOverflow chooses another node for a call that this node has no room for. The
// units of a limit are spread unevenly over the nodes, and so is their use; one
// hand-over finds room for most calls that would be refused. It is random, since
// the load of the other nodes is not known here.
func (c *call) relayOverflow(rejection *admission.Rejection) bool {
	isOverload := rejection.Reason == admission.ReasonFull || rejection.Reason == admission.ReasonOverShare
	if c.relayed || c.overflowAttempted || !isOverload || c.version == nil {
		return false
	}
	c.overflowAttempted = true
	now := nanos(c.handler.now())
	candidates := []*snapshot.Target{}
	for _, node := range c.version.Relays {
		if isAvailable(node, now) && !c.wasAttempted(node) {
			candidates = append(candidates, node)
		}
	}
	if len(candidates) == 0 {
		return false
	}
	chosen := candidates[c.rng.IntN(len(candidates))]
	if !reserveUnit(chosen) {
		return false
	}
	c.chosen = choice{target: chosen, candidates: candidates}
	return true
}

func isRelayed(r *http.Request) bool {
	return r.Context().Value(relayedKey{}) != nil
}
