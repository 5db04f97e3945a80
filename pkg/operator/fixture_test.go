package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/objectstore"
	"github.com/fireflychute/fireflychute/pkg/operator"
	"github.com/fireflychute/fireflychute/pkg/operator/operatortest"
)

// fixture is a resource API on fakes, with a small configuration applied.
type fixture struct {
	*WithT
	store           *operatortest.Store
	backend         *operatortest.Backend
	server          *operator.Server
	initialRevision uint64
}

func newFixture(t *testing.T) *fixture {
	store := operatortest.NewStore()
	f := &fixture{WithT: NewWithT(t), store: store, backend: &operatortest.Backend{Store: store, Ready: operator.Readiness{Ready: true}}}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	f.server = operator.NewServer(operator.Options{Store: store, Backend: f.backend, MaxBodyBytes: 4096, Now: func() time.Time { return now }})
	result := f.mustApply(operator.ApplyRequest{Operation: "start", Objects: []api.Object{
		dataCentre("north", "In"), dataCentre("south", "In"), service("text", 6), workKind("lookup"), route("labels", "text"),
	}})
	f.initialRevision = result.Revision
	return f
}

func dataCentre(name, state string) api.Object {
	return api.Object{Kind: api.KindDataCentre, Name: name, Spec: json.RawMessage(`{"state":"` + state + `"}`)}
}

func service(name string, slots int) api.Object {
	spec, _ := json.Marshal(api.ServiceSpec{Slots: slots, MaxConnections: 9, MeasuringBudget: 1, ReferenceLatencyMs: 9})
	return api.Object{Kind: api.KindService, Name: name, Spec: spec}
}

func workKind(name string) api.Object {
	return api.Object{Kind: api.KindWorkKind, Name: name, Spec: json.RawMessage(`{"idempotent":true,"timeoutMs":9,"priority":0,"weight":1}`)}
}

func route(name, service string) api.Object {
	spec, _ := json.Marshal(api.RouteSpec{PathPrefix: "/" + name, Service: service, WorkKind: "lookup"})
	return api.Object{Kind: api.KindRoute, Name: name, Spec: spec}
}

func (f *fixture) call(method, path string, body any, into any) *httptest.ResponseRecorder {
	text, err := json.Marshal(body)
	f.Expect(err).NotTo(HaveOccurred())
	w := httptest.NewRecorder()
	f.server.ServeHTTP(w, httptest.NewRequest(method, path, bytes.NewReader(text)))
	if into != nil {
		f.Expect(json.Unmarshal(w.Body.Bytes(), into)).To(Succeed(), w.Body.String())
	}
	return w
}

func (f *fixture) apply(request operator.ApplyRequest) (operator.ApplyResult, int, operator.Error) {
	w := f.call(http.MethodPost, "/v1/apply", request, nil)
	var result operator.ApplyResult
	var failure operator.Error
	if w.Code == http.StatusOK {
		f.Expect(json.Unmarshal(w.Body.Bytes(), &result)).To(Succeed())
	} else {
		f.Expect(json.Unmarshal(w.Body.Bytes(), &failure)).To(Succeed(), w.Body.String())
	}
	return result, w.Code, failure
}

func (f *fixture) mustApply(request operator.ApplyRequest) operator.ApplyResult {
	result, status, failure := f.apply(request)
	f.Expect(status).To(Equal(http.StatusOK), failure.Error())
	return result
}

// storedSpecs returns the committed specs by key. It fails the test when the manifest
// refers to a blob that does not exist.
func (f *fixture) storedSpecs() (map[string]string, uint64) {
	onCall := f.store.OnCall
	f.store.OnCall = nil
	defer func() { f.store.OnCall = onCall }()
	object, err := f.store.Get(context.Background(), objectstore.KindManifest, objectstore.ManifestName)
	f.Expect(err).NotTo(HaveOccurred())
	var manifest api.Manifest
	f.Expect(json.Unmarshal(object.Value, &manifest)).To(Succeed())
	specs := map[string]string{}
	for key, entry := range manifest.Entries {
		blob, err := f.store.Get(context.Background(), objectstore.KindBlob, entry.Digest)
		f.Expect(err).NotTo(HaveOccurred(), "manifest refers to a missing blob: "+key)
		specs[key] = string(blob.Value)
	}
	return specs, object.Version
}
