package edge

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/fireflychute/fireflychute/pkg/catalog"
	"github.com/fireflychute/fireflychute/pkg/replica"
	"github.com/fireflychute/fireflychute/pkg/revision"
	"github.com/fireflychute/fireflychute/pkg/topology"
)

// writeRecorder is a store that records the kinds of the objects written.
type writeRecorder struct {
	Store
	kinds chan replica.Kind
}

func (w writeRecorder) Create(context.Context, replica.Kind, string, []byte) (replica.Object, error) {
	w.kinds <- replica.Steps
	return replica.Object{}, nil
}

func (w writeRecorder) Replace(_ context.Context, kind replica.Kind, _ string, _ revision.Revision, _ []byte) (replica.Object, error) {
	w.kinds <- kind
	return replica.Object{}, nil
}

func (w writeRecorder) ReplaceStatus(_ context.Context, kind replica.Kind, _ string, _ revision.Revision, _ []byte) (replica.Object, error) {
	w.kinds <- kind
	return replica.Object{}, nil
}

// stubCodec encodes every document as an empty object.
type stubCodec struct{ Codec }

func (stubCodec) EncodeStep(catalog.Step) ([]byte, error) { return []byte("{}"), nil }

func (stubCodec) EncodeRolloutStatus(string, catalog.RolloutState) ([]byte, error) {
	return []byte("{}"), nil
}

// Guards against a rollout that is reported as rolled back while the step in the store
// still routes all requests to its version: the next rollout would use that version, whose
// targets are leaving, as its old version.
func TestRolledBackIsReportedAfterTheFailedStep(t *testing.T) {
	g := NewWithT(t)
	store := writeRecorder{kinds: make(chan replica.Kind, 4)}
	c := newTestController(Options{Store: store, Codec: stubCodec{}, Log: zerolog.Nop()}, nil, nil)
	now := time.Now()
	order := topology.Order{
		Rollout: catalog.Rollout{Service: "s", Version: "v2", Duration: time.Minute, State: catalog.RolloutInProgress}, Name: "s", ID: 7,
	}
	step := catalog.Step{Service: "s", Version: "v2", Base: "v1", Order: 7, Share: 1}
	c.view.steps = map[string]catalog.Step{"s": step}
	c.replica.Replace(now, replica.Rollouts, revision.Decode(4), []replica.Object{{Name: "s", Revision: revision.Decode(3)}}, false)
	c.replica.Replace(now, replica.Steps, revision.Decode(4), []replica.Object{{Name: "s", Revision: revision.Decode(4)}}, false)
	bad := &trackedRollout{bad: true, share: 1, shareSince: now, storedElapsedAt: now}
	c.advanceRollout(t.Context(), now, bad, order, nil)
	g.Expect(<-store.kinds).To(Equal(replica.Steps))
	g.Consistently(store.kinds, "50ms").ShouldNot(Receive(), "the status is written only after the step")

	step.Failed, step.Share = true, 0
	c.view.steps["s"] = step
	c.rollouts.stepWrites = map[string]*writeState{}
	c.advanceRollout(t.Context(), now, bad, order, nil)
	g.Eventually(store.kinds).Should(Receive(Equal(replica.Rollouts)))
	next := order
	next.ID, next.Version = 8, "v3"
	g.Expect(c.oldVersion(next, step, true)).To(Equal("v1"))
}
