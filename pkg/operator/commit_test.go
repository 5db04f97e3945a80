package operator_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/internal/faultmatrix"
	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/operator"
	"github.com/fireflychute/fireflychute/pkg/operator/operatortest"
)

// changeTwoObjects returns a request that writes two objects and deletes a third, so that a test
// detects a partly applied change.
func changeTwoObjects(operation string) operator.ApplyRequest {
	return operator.ApplyRequest{Operation: operation, Objects: []api.Object{service("text", 7), route("orders", "text")}, Delete: []string{"DataCentre/south"}}
}

// Guards against a change that is applied partly or twice, or reported wrongly, when any
// one platform call fails in any way, and against a repeated request that is not detected.
func TestFailureAtEveryCall(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.PlatformDown, faultmatrix.ConfigAccept, faultmatrix.ConfigStore)
	faultmatrix.Proves(t, faultmatrix.PlatformRejecting, faultmatrix.ConfigAccept, faultmatrix.ConfigStore)
	faultmatrix.Proves(t, faultmatrix.ResponseLost, faultmatrix.ConfigAccept, faultmatrix.ConfigStore)
	steps := 0
	counting := newFixture(t)
	counting.store.OnCall = func(string) operatortest.Fault { steps++; return operatortest.None }
	counting.mustApply(changeTwoObjects("two"))
	NewWithT(t).Expect(steps).To(BeNumerically(">", 5))
	for _, fault := range []operatortest.Fault{operatortest.Down, operatortest.RateLimited, operatortest.LostRequest, operatortest.LostResponse} {
		for persistent := range 2 {
			for failedCall := range steps {
				t.Run(fmt.Sprintf("fault %d lasting %d at call %d", fault, persistent, failedCall), func(t *testing.T) {
					checkFailure(newFixture(t), fault, failedCall, persistent == 1)
				})
			}
		}
	}
}

func checkFailure(f *fixture, fault operatortest.Fault, failedCall int, persistent bool) {
	before, _ := f.storedSpecs()
	calls := 0
	f.store.OnCall = func(string) operatortest.Fault {
		calls++
		if calls-1 == failedCall || persistent && calls > failedCall {
			return fault
		}
		return operatortest.None
	}
	result, status, failure := f.apply(changeTwoObjects("two"))
	f.store.OnCall = nil
	after, revision := f.storedSpecs()
	accepted := len(after) == len(before) && after["Service/text"] != before["Service/text"] && after["Route/orders"] != "" && after["DataCentre/south"] == ""
	if !accepted {
		f.Expect(after).To(Equal(before), "partly applied")
		f.Expect(status).To(Equal(http.StatusServiceUnavailable))
		f.Expect(failure.Operation).To(Equal("two"))
	}
	if status == http.StatusOK {
		f.Expect(accepted).To(BeTrue(), "reported success for a change that is not in the store")
		f.Expect(result.Revision).To(Equal(revision))
	}
	if accepted && status != http.StatusOK {
		f.Expect(failure.Code).To(Equal(operator.CodeUnknownOutcome))
	}
	again := f.mustApply(changeTwoObjects("two"))
	_, latest := f.storedSpecs()
	f.Expect(again.Revision).To(Equal(latest))
	f.Expect(again.Changes).To(HaveLen(3))
	if accepted {
		f.Expect(latest).To(Equal(revision), "a repeated request was committed again")
	}
}

// Guards against a lost response of the commit that makes the server report a failure
// although the commit succeeded.
func TestLostCommitResponseIsDetected(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.ResponseLost, faultmatrix.ConfigStore)
	f := newFixture(t)
	lost := 0
	f.store.OnCall = func(step string) operatortest.Fault {
		if step == "update manifest" {
			lost++
			return operatortest.LostResponse
		}
		return operatortest.None
	}
	result := f.mustApply(changeTwoObjects("two"))
	f.store.OnCall = nil
	_, revision := f.storedSpecs()
	f.Expect(lost).To(Equal(1))
	f.Expect(result.Revision).To(Equal(revision))
}

// Guards against a repeated request that reverts a later change or returns a different
// result, and against an operation id that is accepted for two requests.
func TestRepeatedOperation(t *testing.T) {
	f := newFixture(t)
	first := f.mustApply(changeTwoObjects("two"))
	f.mustApply(operator.ApplyRequest{Operation: "later", Objects: []api.Object{service("text", 8)}})
	f.Expect(f.mustApply(changeTwoObjects("two"))).To(Equal(first))
	specs, _ := f.storedSpecs()
	f.Expect(specs["Service/text"]).To(ContainSubstring(`"slots":8`))
	_, status, failure := f.apply(operator.ApplyRequest{Operation: "two", Objects: []api.Object{service("text", 9)}})
	f.Expect(status).To(Equal(http.StatusConflict))
	f.Expect(failure.Code).To(Equal(operator.CodeOperationReused))
}

// beforeManifestUpdate runs an action once, directly before the next update of the manifest.
func beforeManifestUpdate(f *fixture, action func()) {
	f.store.OnCall = func(step string) operatortest.Fault {
		if step == "update manifest" {
			f.store.OnCall = nil
			action()
		}
		return operatortest.None
	}
}

// Guards against two concurrent changes of one object that are both reported as accepted,
// and against a conflict error without the current revision.
func TestRaceOnOneObject(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.OperatorsRace, faultmatrix.ConfigAccept, faultmatrix.ConfigStore)
	f := newFixture(t)
	var winner operator.ApplyResult
	beforeManifestUpdate(f, func() { winner = f.mustApply(operator.ApplyRequest{Objects: []api.Object{service("text", 8)}}) })
	_, status, failure := f.apply(operator.ApplyRequest{Objects: []api.Object{service("text", 9)}})
	f.Expect(status).To(Equal(http.StatusConflict))
	f.Expect(failure.Code).To(Equal(operator.CodeConflict))
	f.Expect(failure.Revision).To(Equal(winner.Revision))
	specs, _ := f.storedSpecs()
	f.Expect(specs["Service/text"]).To(ContainSubstring(`"slots":8`))
}

// Guards against concurrent changes of different objects that reject or overwrite each
// other, and against a retry that does not validate the complete new configuration.
func TestRaceOnDifferentObjects(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.OperatorsRace, faultmatrix.ConfigAccept, faultmatrix.ConfigStore)
	f := newFixture(t)
	beforeManifestUpdate(f, func() { f.mustApply(operator.ApplyRequest{Objects: []api.Object{service("other", 8)}}) })
	f.mustApply(operator.ApplyRequest{Objects: []api.Object{service("text", 9)}})
	specs, revision := f.storedSpecs()
	f.Expect(specs).To(HaveKey("Service/other"))
	f.Expect(specs["Service/text"]).To(ContainSubstring(`"slots":9`))

	beforeManifestUpdate(f, func() { f.mustApply(operator.ApplyRequest{Delete: []string{"Service/other"}}) })
	_, status, failure := f.apply(operator.ApplyRequest{Objects: []api.Object{route("others", "other")}})
	f.Expect(status).To(Equal(http.StatusUnprocessableEntity))
	f.Expect(failure.Problems).To(HaveLen(1))

	beforeManifestUpdate(f, func() { f.mustApply(operator.ApplyRequest{Objects: []api.Object{service("new", 8)}}) })
	_, status, _ = f.apply(operator.ApplyRequest{IfRevision: &revision, Objects: []api.Object{service("text", 10)}})
	f.Expect(status).To(Equal(http.StatusConflict), "a change with a required revision is not retried on a newer one")
}

// Guards against more or fewer than one accepted change when many operators concurrently
// change the same revision.
func TestOneWinnerPerRace(t *testing.T) {
	faultmatrix.Proves(t, faultmatrix.OperatorsRace, faultmatrix.ConfigStore)
	const operators, rounds = 8, 20
	f := newFixture(t)
	_, revision := f.storedSpecs()
	for round := range rounds {
		var winners, next atomic.Uint64
		var group sync.WaitGroup
		for i := range operators {
			group.Go(func() {
				result, status, failure := f.apply(operator.ApplyRequest{IfRevision: &revision, Objects: []api.Object{service("text", 10+round*operators+i)}})
				if status == http.StatusOK {
					winners.Add(1)
					next.Store(result.Revision)
				} else if failure.Code != operator.CodeConflict {
					t.Errorf("loser received %d %s", status, failure.Error())
				}
			})
		}
		group.Wait()
		f.Expect(winners.Load()).To(BeEquivalentTo(1))
		revision = next.Load()
	}
}
