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

// Guards against a target that left and goes on receiving requests because a followed node
// is cut off from the store: a node that reaches the store would keep the entry for some
// seconds as if it had lapsed with the store.
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
			control := newController(Options{Log: zerolog.Nop()}, nil, nil)
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

// Guards against entries that lapsed being given up while the store is away for all, and being
// kept by a node that is alone cut off from it.
func TestStoreIsUnreachableOnlyWhenNoNodeReachesIt(t *testing.T) {
	followed := catalog.Node{Name: "n2", Address: "127.0.0.1:2"}
	for name, c := range map[string]struct {
		watching, failing, silent, follows, lost bool
		away                                     bool
	}{
		"own watches are served":               {watching: true, away: false},
		"own watches are served, others' not":  {watching: true, follows: true, lost: true, away: false},
		"own watches fail, others' are served": {watching: true, failing: true, follows: true, away: false},
		"own probe fails, others' are served":  {watching: true, silent: true, follows: true, away: false},
		"all watches fail":                     {watching: true, failing: true, follows: true, lost: true, away: true},
		"a follower, served":                   {follows: true, away: false},
		"a follower whose source lost it":      {follows: true, lost: true, away: true},
		"alone, failing":                       {watching: true, failing: true, away: true},
	} {
		t.Run(name, func(t *testing.T) {
			control := testController("n1")
			control.view.nodes = []catalog.Node{{Name: "n1"}, followed}
			control.watch.failing, control.watch.probeFailing = c.failing, c.silent
			if c.watching {
				control.watch.cancel = func() {}
			}
			if c.follows {
				control.followCancels[followed.Address] = func() {}
			}
			if c.lost {
				control.sourceStates[followed.Name] = follow.SourceState{}.AfterFailure(time.Now())
			}
			NewWithT(t).Expect(control.isStoreUnreachable()).To(Equal(c.away))
		})
	}
}
