package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/fireflychute/fireflychute/pkg/catalog"
	"github.com/fireflychute/fireflychute/pkg/follow"
	"github.com/fireflychute/fireflychute/pkg/message"
)

// Guards against a target that left but still receives requests because a followed node is
// cut off from the store: a node that reaches the store would retain the entry for some
// seconds as if it had lapsed in an outage.
func TestStoreFailureOfAFollowedNode(t *testing.T) {
	for name, c := range map[string]struct {
		watching, failing, lapses bool
	}{
		"own watches are served": {true, false, false},
		"own watches fail":       {true, true, true},
		"no watches of its own":  {false, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			control := newTestController(Options{Log: zerolog.Nop()}, nil, nil)
			if c.watching {
				control.watch.cancel = func() {}
			}
			control.watch.failing = c.failing
			now := time.Now()
			stale := &message.ReplicaAnswer{StaleMs: int(2 * staleThreshold.Milliseconds())}
			control.applyReply(now, catalog.Node{Name: "n2"}, stale, nil, nil)
			g.Expect(control.mayLapse(now, now)).To(Equal(c.lapses))
		})
	}
}

// Guards against lapsed entries being removed while no node reaches the store, and against
// their being retained by a node that alone is cut off from it.
func TestStoreIsUnreachableOnlyWhenNoNodeReachesIt(t *testing.T) {
	followed := catalog.Node{Name: "n2", Address: "127.0.0.1:2"}
	for name, c := range map[string]struct {
		watching, failing, probeFailing, following, sourceLost bool
		unreachable                                            bool
	}{
		"own watches are served":               {watching: true, unreachable: false},
		"own watches are served, others' not":  {watching: true, following: true, sourceLost: true, unreachable: false},
		"own watches fail, others' are served": {watching: true, failing: true, following: true, unreachable: false},
		"own probe fails, others' are served":  {watching: true, probeFailing: true, following: true, unreachable: false},
		"all watches fail":                     {watching: true, failing: true, following: true, sourceLost: true, unreachable: true},
		"a follower whose source reaches it":   {following: true, unreachable: false},
		"a follower whose source lost it":      {following: true, sourceLost: true, unreachable: true},
		"alone, failing":                       {watching: true, failing: true, unreachable: true},
	} {
		t.Run(name, func(t *testing.T) {
			control := testController("n1")
			control.view.nodes = []catalog.Node{{Name: "n1"}, followed}
			control.watch.failing, control.watch.probeFailing = c.failing, c.probeFailing
			if c.watching {
				control.watch.cancel = func() {}
			}
			if c.following {
				control.followCancels[followed.Address] = func() {}
			}
			if c.sourceLost {
				control.sourceStates[followed.Name] = follow.SourceState{}.AfterFailure(time.Now())
			}
			NewWithT(t).Expect(control.isStoreUnreachable()).To(Equal(c.unreachable))
		})
	}
}
