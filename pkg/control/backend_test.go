package control

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/explain"
	"github.com/fireflychute/fireflychute/pkg/objectstore"
	"github.com/fireflychute/fireflychute/pkg/operator/operatortest"
	"github.com/fireflychute/fireflychute/pkg/targets"
)

// Guards against a status that changed within the cache time being shown as before
// to the operator who was woken by the change: wait would then miss it.
func TestChangedStatusIsReadAgain(t *testing.T) {
	g := NewWithT(t)
	store := operatortest.NewStore()
	version, err := store.Create(context.Background(), objectstore.KindRolloutStatus, "r", []byte(`{"phase":"Progressing"}`))
	g.Expect(err).NotTo(HaveOccurred())
	c := New(Options{Store: store, Random: rand.New(rand.NewPCG(1, 1))})
	backend := NewBackend(c, &explain.Ring{})
	before, _ := backend.Status(api.KindRollout, "r")
	g.Expect(string(before)).To(ContainSubstring("Progressing"))
	_, err = store.Update(context.Background(), objectstore.KindRolloutStatus, "r", []byte(`{"phase":"RolledBack"}`), version)
	g.Expect(err).NotTo(HaveOccurred())
	c.view.Load().notifyStatusChange()
	after, _ := backend.Status(api.KindRollout, "r")
	g.Expect(string(after)).To(ContainSubstring("RolledBack"))
}

// Guards against an age of load reports that operators see as 0, which makes an old
// report look current.
func TestReportAgeIsShown(t *testing.T) {
	g := NewWithT(t)
	counters := &targets.Counters{}
	counters.RecordReport(&targets.Report{InFlight: 2, Queued: 1, ArrivedNanos: targets.MonotonicNanos(time.Now().Add(-time.Second))})
	load := targetLoad(targets.Entry{Counters: counters}, 1)
	g.Expect(load.ReportedLoad).To(Equal(3))
	g.Expect(load.ReportAge).To(BeNumerically(">=", time.Second))
}
