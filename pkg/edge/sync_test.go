package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/fireflychute/fireflychute/pkg/catalog"
	"github.com/fireflychute/fireflychute/pkg/message"
)

// Guards against a target that left and goes on receiving requests because a followed node
// is cut off from the store: a node that reaches the store would keep the entry for some
// seconds as if it had lapsed with the store.
func TestTroubleOfAFollowedNode(t *testing.T) {
	for name, c := range map[string]struct {
		watching, failing, lapses bool
	}{
		"own watches are served": {true, false, false},
		"own watches fail":       {true, true, true},
		"no watches of its own":  {false, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			control := newController(Options{Log: zerolog.Nop()}, nil, nil)
			if c.watching {
				control.watch.cancel = func() {}
			}
			control.watch.failing = c.failing
			now := time.Now()
			stale := &message.ReplicaAnswer{StaleMs: int(2 * staleTime.Milliseconds())}
			control.take(now, catalog.Node{Name: "n2"}, stale, nil, nil)
			g.Expect(control.mayLapse(now, now)).To(Equal(c.lapses))
		})
	}
}
