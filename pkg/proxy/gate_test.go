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
func TestUnusedNotificationIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		svcGate := newGate(&snapshot.Service{})
		free := &snapshot.Target{Units: 1, Counters: &targets.Counters{}}
		g.Expect(reserveUnit(free)).To(BeTrue())
		request := admission.Request{Deadline: time.Now().Add(time.Hour)}
		for range 3 {
			go svcGate.wait(t.Context(), request, func() bool { return false })
			synctest.Wait()
		}
		acquired := false
		go svcGate.wait(t.Context(), request, func() bool { acquired = acquired || reserveUnit(free); return acquired })
		synctest.Wait()
		svcGate.releaseUnit(free)
		synctest.Wait()
		g.Expect(acquired).To(BeTrue())
	})
}
