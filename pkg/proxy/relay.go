package proxy

import (
	"context"
	"net/http"
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

func isRelayed(r *http.Request) bool {
	return r.Context().Value(relayedKey{}) != nil
}
