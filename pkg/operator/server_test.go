package operator_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/configuration"
	"github.com/fireflychute/fireflychute/pkg/operator"
	"github.com/fireflychute/fireflychute/pkg/operator/operatortest"
)

// Guards against a dry run that writes, or that hides what it would do to traffic.
func TestDryRun(t *testing.T) {
	f := newFixture(t)
	f.store.OnCall = func(step string) operatortest.Fault {
		f.Expect(step).To(HavePrefix("get "))
		return operatortest.None
	}
	var result operator.ApplyResult
	request := operator.ApplyRequest{Objects: []api.Object{service("text", 7), dataCentre("north", "Out"), dataCentre("south", "In")}}
	w := f.call(http.MethodPost, "/v1/apply?dryRun=true", request, &result)
	f.Expect(w.Code).To(Equal(http.StatusOK))
	f.Expect(result.DryRun).To(BeTrue())
	f.Expect(result.Revision).To(Equal(f.initialRevision))
	f.Expect(result.Changes).To(HaveLen(3))
	f.Expect(result.Changes[0].Fields).To(ConsistOf(operator.FieldChange{Field: "state", Old: json.RawMessage(`"In"`), New: json.RawMessage(`"Out"`)}))
	f.Expect(result.Changes[1].Action).To(Equal(operator.ActionUnchanged))
	f.Expect(result.Changes[2].Generation).To(Equal(2))
	f.Expect(result.Traffic).To(Equal(operator.AffectedTraffic{Services: []string{"text"}, Routes: []string{"labels"}, DataCentres: []string{"north"}, Callers: []string{}}))
}

// Guards against an apply of what is already declared raising the revision.
func TestUnchangedApplyWritesNothing(t *testing.T) {
	f := newFixture(t)
	f.mustApply(operator.ApplyRequest{Objects: []api.Object{service("text", 6)}})
	_, revision := f.storedSpecs()
	f.Expect(revision).To(Equal(f.initialRevision))
}

// Guards against wrong requests that are accepted or answered without a type.
func TestRejectedRequests(t *testing.T) {
	cases := []struct {
		name, method, path, body string
		status                   int
		code                     string
	}{
		{"not JSON", "POST", "/v1/apply", "{", 400, operator.CodeBadRequest},
		{"unknown field", "POST", "/v1/apply", `{"object":[]}`, 400, operator.CodeBadRequest},
		{"trailing data", "POST", "/v1/apply", `{"delete":["Service/text"]}{}`, 400, operator.CodeBadRequest},
		{"nothing asked", "POST", "/v1/apply", `{}`, 400, operator.CodeBadRequest},
		{"operation", "POST", "/v1/apply", `{"operation":"a b","delete":["Service/text"]}`, 400, operator.CodeBadRequest},
		{"dry run", "POST", "/v1/apply?dryRun=maybe", `{"delete":["Service/text"]}`, 400, operator.CodeBadRequest},
		{"too large", "POST", "/v1/apply", `{"operation":"` + strings.Repeat("a", 5000) + `"}`, 413, operator.CodeTooLarge},
		{"spec", "POST", "/v1/apply", `{"objects":[{"kind":"DataCentre","name":"x","spec":{"sate":"In"}}]}`, 422, operator.CodeInvalid},
		{"kind", "POST", "/v1/apply", `{"objects":[{"kind":"Pod","name":"x","spec":{}}]}`, 422, operator.CodeInvalid},
		{"whole set", "DELETE", "/v1/services/text", ``, 422, operator.CodeInvalid},
		{"delete missing", "DELETE", "/v1/services/gone", ``, 404, operator.CodeNotFound},
		{"delete at revision", "DELETE", "/v1/dataCentre/south?ifRevision=1", ``, 409, operator.CodeConflict},
		{"get missing", "GET", "/v1/services/gone", ``, 404, operator.CodeNotFound},
		{"get kind", "GET", "/v1/pods", ``, 404, operator.CodeNotFound},
		{"explain missing", "GET", "/v1/explain/requests/gone", ``, 404, operator.CodeNotFound},
		{"fleet unknown", "GET", "/v1/status", ``, 503, operator.CodeNotReady},
		{"watch", "GET", "/v1/watch?revision=x", ``, 400, operator.CodeBadRequest},
		{"path", "GET", "/v2", ``, 404, operator.CodeNotFound},
	}
	f := newFixture(t)
	before, revision := f.storedSpecs()
	for _, c := range cases {
		w := httptest.NewRecorder()
		f.server.ServeHTTP(w, httptest.NewRequest(c.method, c.path, strings.NewReader(c.body)))
		var failure operator.Error
		f.Expect(json.Unmarshal(w.Body.Bytes(), &failure)).To(Succeed(), c.name)
		f.Expect(w.Code).To(Equal(c.status), c.name)
		f.Expect(failure.Code).To(Equal(c.code), c.name)
		f.Expect(failure.Message).NotTo(BeEmpty(), c.name)
	}
	after, latest := f.storedSpecs()
	f.Expect(after).To(Equal(before))
	f.Expect(latest).To(Equal(revision))
}

// Guards against a data centre leaving without room for its load, and against a
// tolerated lack of room that is not shown.
func TestCapacityProblems(t *testing.T) {
	f := newFixture(t)
	problem := operator.CapacityProblem{DataCentre: "south", Service: "text", Reason: "lacks 5 units", Blocking: true}
	f.backend.CheckCapacity = func(current, proposed *configuration.Set) []operator.CapacityProblem {
		if current.DataCentres["south"].State == proposed.DataCentres["south"].State {
			return nil
		}
		return []operator.CapacityProblem{problem}
	}
	evacuation := operator.ApplyRequest{Objects: []api.Object{dataCentre("south", "Out")}}
	_, status, failure := f.apply(evacuation)
	f.Expect(status).To(Equal(http.StatusUnprocessableEntity))
	f.Expect(failure.Capacity).To(ConsistOf(problem))
	f.Expect(failure.Error()).To(ContainSubstring("service text: lacks 5 units"), "the service must be named")
	problem.Blocking = false
	f.Expect(f.mustApply(evacuation).Warnings).To(ConsistOf(problem))
}

// Guards against reads that lose the status or the conditions of an object.
func TestReads(t *testing.T) {
	f := newFixture(t)
	f.Expect(f.backend.Sync(context.Background())).To(Succeed())
	status, _ := json.Marshal(api.DataCentreStatus{Phase: api.PhaseCompleted, Conditions: []api.Condition{{Type: "Drained"}}})
	f.backend.Statuses = map[string]json.RawMessage{"DataCentre/south": status}
	f.backend.FleetStatus = &api.FleetStatus{Revision: 5, Conditions: []api.Condition{{Type: "InForce"}}}
	f.backend.Members = []api.NodeStatus{{Name: "a"}}
	f.backend.Loads = []operator.TargetLoad{{Address: "1", Service: "text", ReportedLoad: 1}, {Address: "2", Service: "text", ReportedLoad: 3}, {Address: "3", Service: "other"}}
	f.backend.Explanations = map[string]operator.Explanation{"r1": {RequestID: "r1", Reason: "no free unit"}}

	var resource operator.Resource
	f.call(http.MethodGet, "/v1/datacentres/south", nil, &resource)
	f.Expect(resource.Generation).To(Equal(1))
	f.Expect(string(resource.Spec)).To(ContainSubstring(`"In"`))
	f.Expect(resource.Conditions).To(HaveLen(2))
	var list operator.ResourceList
	f.call(http.MethodGet, "/v1/DataCentre", nil, &list)
	f.Expect(list.Items).To(HaveLen(2))
	var fleet api.FleetStatus
	f.call(http.MethodGet, "/v1/status", nil, &fleet)
	f.Expect(fleet.Revision).To(Equal(5))
	var nodes operator.NodeList
	f.call(http.MethodGet, "/v1/nodes", nil, &nodes)
	f.Expect(nodes.Nodes).To(HaveLen(1))
	var top operator.TargetList
	f.call(http.MethodGet, "/v1/top?service=text", nil, &top)
	f.Expect(top.Targets).To(HaveLen(2))
	f.Expect(top.Targets[0].Address).To(Equal("2"))
	var explanation operator.Explanation
	f.call(http.MethodGet, "/v1/explain/requests/r1", nil, &explanation)
	f.Expect(explanation.Reason).To(Equal("no free unit"))
	f.Expect(f.call(http.MethodGet, "/livez", nil, nil).Code).To(Equal(http.StatusOK))
	f.Expect(f.call(http.MethodGet, "/debug/pprof/", nil, nil).Code).To(Equal(http.StatusOK))
	f.Expect(f.call(http.MethodGet, "/readyz", nil, nil).Code).To(Equal(http.StatusOK))
	f.backend.Ready = operator.Readiness{Reason: "no configuration yet"}
	f.Expect(f.call(http.MethodGet, "/readyz", nil, nil).Body.String()).To(ContainSubstring("no configuration yet"))
}

// Guards against a watch that misses a change, or that never ends without one.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.Expect(f.backend.Sync(t.Context())).To(Succeed())
		var known, result operator.WatchResult
		f.call(http.MethodGet, "/v1/watch", nil, &known)
		f.Expect(known.Revision).To(Equal(f.initialRevision))
		query, _ := json.Marshal(known.Revision)
		path := "/v1/watch?timeout=10s&status=1&revision=" + string(query)
		start := time.Now()
		f.call(http.MethodGet, path, nil, &result)
		f.Expect(result.Changed).To(BeFalse())
		f.Expect(time.Since(start)).To(Equal(10 * time.Second))
		done := make(chan struct{})
		go func() {
			f.call(http.MethodGet, path, nil, &result)
			close(done)
		}()
		synctest.Wait()
		f.Expect(f.backend.Sync(t.Context())).To(Succeed())
		<-done
		f.Expect(result.Changed).To(BeTrue())
		f.Expect(result.Status).To(BeEquivalentTo(2))
	})
}
