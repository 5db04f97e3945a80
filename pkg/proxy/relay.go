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

// overflow chooses another node for a call that this node has no room for. The
// units of a limit are spread unevenly over the nodes, and so is their use; one
// hand-over finds room for most calls that would be refused. It is random, since
// the load of the other nodes is not known here.
func (c *call) overflow(refusal *admission.Rejection) bool {
	hasTime := refusal.Reason == admission.ReasonFull || refusal.Reason == admission.ReasonOverShare
	if c.relayed || c.overflowed || !hasTime || c.version == nil {
		return false
	}
	c.overflowed = true
	now := nanos(c.handler.now())
	among := []*snapshot.Target{}
	for _, node := range c.version.Relays {
		if takesWork(node, now) && !c.wasTried(node) {
			among = append(among, node)
		}
	}
	if len(among) == 0 {
		return false
	}
	chosen := among[c.random.IntN(len(among))]
	if !reserve(chosen) {
		return false
	}
	c.chosen = choice{target: chosen, among: among}
	return true
}

func isRelayed(r *http.Request) bool {
	return r.Context().Value(relayedKey{}) != nil
}
