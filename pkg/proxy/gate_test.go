package proxy

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/admission"
	"github.com/fireflychute/fireflychute/pkg/snapshot"
	"github.com/fireflychute/fireflychute/pkg/targets"
)

// Guards against a free unit staying unused because the request that was woken
// waits for a target of another version.
func TestUnusedWakeIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		held := newGate(&snapshot.Service{})
		free := &snapshot.Target{Units: 1, Counters: &targets.Counters{}}
		g.Expect(reserve(free)).To(BeTrue())
		request := admission.Request{Deadline: time.Now().Add(time.Hour)}
		for range 3 {
			go held.wait(t.Context(), request, func() bool { return false })
			synctest.Wait()
		}
		taken := false
		go held.wait(t.Context(), request, func() bool { taken = taken || reserve(free); return taken })
		synctest.Wait()
		held.release(free)
		synctest.Wait()
		g.Expect(taken).To(BeTrue())
	})
}
