package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/pem"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/balance"
	"github.com/fireflychute/fireflychute/pkg/operator"
	"github.com/fireflychute/fireflychute/pkg/operator/operatortest"
)

const declaration = `[dataCentre.north]
state = "In"
capacityPolicy = "Warn"
[dataCentre.south]
state = "In"
`

// fixture is a node's resource API on loopback that follows its own commits.
type fixture struct {
	*WithT
	backend *operatortest.Backend
	url     string
	file    string
	// lostResponses makes the node drop that many answers to an apply after the commit.
	lostResponses atomic.Int32
	// failedChanges makes the node refuse that many changes as without platform.
	failedChanges atomic.Int32
}

func newFixture(t *testing.T) *fixture {
	store := operatortest.NewStore()
	f := &fixture{WithT: NewWithT(t), backend: &operatortest.Backend{Store: store}, file: filepath.Join(t.TempDir(), "set.toml")}
	apiHandler := operator.NewServer(operator.Options{Store: store, Backend: f.backend})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && f.failedChanges.Add(-1) >= 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(`{"code":"PlatformUnavailable","message":"down"}`))
			return
		}
		recorder := httptest.NewRecorder()
		apiHandler.ServeHTTP(recorder, r)
		if r.Method == http.MethodPost && recorder.Code == http.StatusOK {
			_ = f.backend.Sync(r.Context())
			if f.lostResponses.Add(-1) >= 0 {
				panic(http.ErrAbortHandler)
			}
		}
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	t.Cleanup(server.Close)
	f.url = server.URL
	f.write(declaration)
	return f
}

func (f *fixture) write(text string) {
	f.Expect(os.WriteFile(f.file, []byte(text), 0o600)).To(Succeed())
}

func (f *fixture) run(arguments ...string) (int, string, string) {
	return f.runAt(f.url, arguments...)
}

func (f *fixture) runAt(node string, arguments ...string) (int, string, string) {
	var stdout, stderr bytes.Buffer
	code := Run(context.Background(), append([]string{"--node", node}, arguments...), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// Guards against a lost answer that is reported as a failure, or applied twice.
func TestApplyIsRetriedAfterLostResponse(t *testing.T) {
	f := newFixture(t)
	f.lostResponses.Store(1)
	// The second address is the same node, reached once the first answer is lost.
	code, stdout, stderr := f.run("--node", f.url, "-o", "json", "apply", f.file)
	f.Expect(code).To(Equal(ExitSuccess), stderr)
	var result operator.ApplyResult
	f.Expect(json.Unmarshal([]byte(stdout), &result)).To(Succeed())
	f.Expect(result.Changes[0].Action).To(Equal(operator.ActionCreate), "the first commit's result")
	f.Expect(result.Revision).To(Equal(f.backend.Configuration().Revision))
	f.Expect(f.backend.Configuration().Manifest.Operations).To(HaveLen(1))
}

// Guards against a node that is down hiding the ones that work.
func TestNodesAreTriedInOrder(t *testing.T) {
	f := newFixture(t)
	var stdout, stderr bytes.Buffer
	code := Run(context.Background(), []string{"--node", "http://127.0.0.1:1", "--node", f.url, "apply", f.file}, &stdout, &stderr)
	f.Expect(code).To(Equal(ExitSuccess), stderr.String())
}

// Guards against a move that changes more than the state of the data centre.
func TestDataCentreOutChangesOnlyState(t *testing.T) {
	f := newFixture(t)
	f.run("apply", f.file)
	code, stdout, stderr := f.run("datacentre", "out", "north")
	f.Expect(code).To(Equal(ExitSuccess), stderr)
	f.Expect(stdout).To(ContainSubstring("data centres north"))
	_, stdout, _ = f.run("get", "datacentre", "north")
	f.Expect(stdout).To(ContainSubstring(`{"capacityPolicy":"Warn","state":"Out"}`))
}

// Guards against exit codes that scripts cannot rely on, and against problems
// found by the node that do not lead back to the file.
func TestExitCodes(t *testing.T) {
	f := newFixture(t)
	code, _, _ := f.run("diff", f.file)
	f.Expect(code).To(Equal(ExitDiffers))
	f.run("apply", f.file)
	code, _, _ = f.run("diff", f.file)
	f.Expect(code).To(Equal(ExitSuccess))
	code, _, _ = f.run("apply", "--if-revision", "1", f.file)
	f.Expect(code).To(Equal(ExitConflict))
	code, _, _ = f.run("get", "datacentre", "gone")
	f.Expect(code).To(Equal(ExitFailure))
	code, _, _ = f.run("wait", "datacentre", "north", "--for", "Completed", "--timeout", "10ms")
	f.Expect(code).To(Equal(ExitTimeout))
	code, _, stderr := f.run("apply", "/nonexistent")
	f.Expect(code).To(Equal(ExitUsage))
	f.Expect(stderr).To(ContainSubstring("/nonexistent"))
	f.write(declaration + "[caller.hall]\ncidrs = [\"x\"]\nweight = 1\n")
	code, _, stderr = f.run("apply", f.file)
	f.Expect(code).To(Equal(ExitUsage))
	f.Expect(stderr).To(ContainSubstring(f.file + ":7: Caller/hall.cidrs: "))
	code, stdout, _ := f.run("apply", "--help")
	f.Expect(code).To(Equal(ExitSuccess))
	f.Expect(stdout).To(ContainSubstring("Example: chutectl apply"))
}

// Guards against a wait that takes an old generation's status for the present one.
func TestWait(t *testing.T) {
	f := newFixture(t)
	f.run("apply", f.file)
	status, _ := json.Marshal(api.DataCentreStatus{Phase: api.PhaseCompleted, Generation: 1})
	f.backend.Statuses = map[string]json.RawMessage{"DataCentre/north": status}
	code, _, stderr := f.run("wait", "datacentre", "north", "--for", "Completed")
	f.Expect(code).To(Equal(ExitSuccess), stderr)
	f.run("datacentre", "out", "north")
	code, _, _ = f.run("wait", "datacentre", "north", "--for", "Completed", "--timeout", "10ms")
	f.Expect(code).To(Equal(ExitTimeout))
}

// Guards against a move that undoes a change which the answering node has not
// applied yet.
func TestDataCentreOutRetriesAfterConflict(t *testing.T) {
	f := newFixture(t)
	f.run("apply", f.file)
	stale := f.backend.Configuration()
	client := NewClient([]string{f.url}, nil)
	unseen := api.Object{Kind: api.KindDataCentre, Name: "north", Spec: json.RawMessage(`{"state":"In","capacityPolicy":"Refuse"}`)}
	_, err := client.Apply(t.Context(), operator.ApplyRequest{Objects: []api.Object{unseen}}, false)
	f.Expect(err).NotTo(HaveOccurred())
	f.backend.Restore(stale)
	sleeps := 0
	var stdout, stderr bytes.Buffer
	e := &env{ctx: t.Context(), out: &stdout, sleep: func(ctx context.Context, _ time.Duration) {
		sleeps++
		f.Expect(f.backend.Sync(ctx)).To(Succeed())
	}}
	code := run(e, []string{"--node", f.url, "datacentre", "out", "north"}, &stderr)
	f.Expect(code).To(Equal(ExitSuccess), stderr.String())
	f.Expect(sleeps).To(Equal(1))
	_, text, _ := f.run("get", "datacentre", "north")
	f.Expect(text).To(ContainSubstring(`{"capacityPolicy":"Refuse","state":"Out"}`))
}

// Guards against a node whose certificate is not checked.
func TestTLS(t *testing.T) {
	f := newFixture(t)
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }))
	defer server.Close()
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	code, _, _ := f.runAt(server.URL, "nodes")
	f.Expect(code).To(Equal(ExitUnavailable))
	ca := filepath.Join(t.TempDir(), "ca")
	f.Expect(os.WriteFile(ca, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw}), 0o600)).To(Succeed())
	code, _, stderr := f.runAt(server.URL, "--ca", ca, "nodes")
	f.Expect(code).To(Equal(ExitSuccess), stderr)
	code, _, _ = f.runAt(server.URL, "--cert", "/nonexistent", "nodes")
	f.Expect(code).To(Equal(ExitUsage))
}

// Guards against an apply that gives up while the platform recovers, and against
// rollouts that the tool declares wrongly.
func TestRolloutAfterOutage(t *testing.T) {
	f := newFixture(t)
	f.write(declaration + "[service.text]\nslots = 1\nqueue = 0\nmaxConnections = 1\nmeasuringBudget = 1.0\nreferenceLatencyMs = 1\n")
	f.run("apply", f.file)
	f.failedChanges.Store(2)
	var stdout, stderr bytes.Buffer
	sleeps := 0
	e := &env{ctx: t.Context(), out: &stdout, sleep: func(context.Context, time.Duration) { sleeps++ }}
	start := []string{"--node", f.url, "rollout", "start", "r", "--service", "text", "--from", "v1", "--to", "v2", "--complete-by", "2999-01-01T00:00:00Z"}
	f.Expect(run(e, start, &stderr)).To(Equal(ExitSuccess), stderr.String())
	f.Expect(sleeps).To(Equal(2))
	code, _, text := f.run("rollout", "rollback", "r")
	f.Expect(code).To(Equal(ExitSuccess), text)
	_, text, _ = f.run("get", "rollout", "r")
	f.Expect(text).To(ContainSubstring(`"state":"RolledBack"`))
	f.failedChanges.Store(maxWriteRounds)
	f.Expect(run(e, append(start, "--dry-run"), &stderr)).To(Equal(ExitUnavailable))
}

// Guards against an interrupted watch that ends as a failure.
func TestInterruptedWatchSucceeds(t *testing.T) {
	f := newFixture(t)
	f.run("apply", f.file)
	ctx, cancel := context.WithCancel(t.Context())
	out := writerFunc(func(p []byte) (int, error) {
		cancel()
		return len(p), nil
	})
	var stderr bytes.Buffer
	f.Expect(Run(ctx, []string{"--node", f.url, "watch", "datacentre"}, out, &stderr)).To(Equal(ExitSuccess), stderr.String())
	f.Expect(stderr.String()).To(BeEmpty())
}

type writerFunc func(p []byte) (int, error)

func (w writerFunc) Write(p []byte) (int, error) { return w(p) }

// Guards against the phase of the previous generation shown as the present one.
func TestPhaseOfEarlierGenerationIsMarked(t *testing.T) {
	g := NewWithT(t)
	item := operator.Resource{Object: api.Object{Kind: "DataCentre", Name: "north", Generation: 2, Status: json.RawMessage(`{"generation":1,"phase":"Completed"}`)}}
	g.Expect(renderResource(item)).To(ContainSubstring("Completed (of generation 1)"))
	item.Generation = 1
	g.Expect(renderResource(item)).NotTo(ContainSubstring("of generation"))
}

// Guards against evidence that operators cannot read, and against evidence of
// another version of the node that the tool cannot show at all.
func TestEvidenceIsReadable(t *testing.T) {
	g := NewWithT(t)
	evidence, err := json.Marshal(balance.Evidence{Free: 2, Count: 1, Threshold: 6, Samples: [balance.SampleCount]balance.Sample{{Index: 1, Load: 0.5, LatencyMicros: 7000}}})
	g.Expect(err).NotTo(HaveOccurred())
	attempt := operator.Attempt{Candidates: []string{"a", "b"}, Evidence: string(evidence)}
	g.Expect(renderEvidence(attempt)).To(ContainSubstring("b: load 0.5, score 0.0, latency 7ms"))
	attempt.Candidates = nil
	g.Expect(renderEvidence(attempt)).To(Equal(attempt.Evidence))
	g.Expect(renderEvidence(operator.Attempt{Evidence: "text"})).To(Equal("text"))
}
