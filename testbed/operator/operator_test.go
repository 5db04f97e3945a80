package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/objectstore"
	"github.com/fireflychute/fireflychute/pkg/operator"
	"github.com/fireflychute/fireflychute/pkg/operator/operatortest"
	"github.com/fireflychute/fireflychute/platform"
	"github.com/fireflychute/fireflychute/testbed/metastore"
)

// startNodes serves the stand-in for the platform's store on loopback. It returns the server, a
// client of it and the resource API of two nodes.
func startNodes(t *testing.T) (*metastore.Server, objectstore.Store, []*operator.Server) {
	server := metastore.NewServer(metastore.New())
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	store := platform.NewObjects(listener.URL, nil)
	nodes := []*operator.Server{}
	for range 2 {
		nodes = append(nodes, operator.NewServer(operator.Options{Store: store, Backend: &operatortest.Backend{Store: store}}))
	}
	return server, store, nodes
}

// apply declares a caller group at a node and returns the HTTP status and the result.
func apply(g Gomega, node *operator.Server, operation, caller string, weight int) (int, operator.ApplyResult) {
	spec := json.RawMessage(fmt.Sprintf(`{"cidrs":["10.%d.0.0/16"],"weight":%d}`, len(caller), weight))
	body, err := json.Marshal(operator.ApplyRequest{Operation: operation, Objects: []api.Object{{Kind: api.KindCaller, Name: caller, Spec: spec}}})
	g.Expect(err).NotTo(HaveOccurred())
	w := httptest.NewRecorder()
	node.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/apply", bytes.NewReader(body)))
	var result operator.ApplyResult
	g.Expect(json.Unmarshal(w.Body.Bytes(), &result)).To(Succeed())
	return w.Code, result
}

// Guards against a change that is committed twice, or whose result another node cannot return, when
// any number of responses, from 0 to 7, is lost between the production client and the store.
func TestLostResponses(t *testing.T) {
	for lost := range 8 {
		g := NewWithT(t)
		server, _, nodes := startNodes(t)
		g.Expect(statusOf(apply(g, nodes[0], "first", "a", 1))).To(Equal(http.StatusOK))
		server.SetFaults(metastore.Faults{DropResponses: lost})
		status, result := apply(g, nodes[0], "second", "a", 2)
		server.SetFaults(metastore.Faults{})
		again, same := apply(g, nodes[1], "second", "a", 2)
		g.Expect(again).To(Equal(http.StatusOK))
		g.Expect(same.Changes[0].Action).To(Equal(operator.ActionUpdate))
		g.Expect(same.Changes[0].Generation).To(Equal(2), "committed twice")
		if lost <= 3 {
			g.Expect(status).To(Equal(http.StatusOK), "%d lost responses", lost)
		}
		if status == http.StatusOK {
			g.Expect(same).To(Equal(result))
		}
	}
}

// Guards against an apply during an outage that is reported as accepted or takes effect.
func TestOutage(t *testing.T) {
	g := NewWithT(t)
	server, _, nodes := startNodes(t)
	server.SetFaults(metastore.Faults{Down: true})
	g.Expect(statusOf(apply(g, nodes[0], "first", "a", 1))).To(Equal(http.StatusServiceUnavailable))
	server.SetFaults(metastore.Faults{})
	g.Expect(statusOf(apply(g, nodes[1], "first", "a", 1))).To(Equal(http.StatusOK))
}

// Guards against lost changes and missing blobs when operators change different objects at
// two nodes while blobs are garbage-collected continuously.
func TestConcurrentOperatorsAndCollection(t *testing.T) {
	const rounds = 20
	g := NewWithT(t)
	_, store, nodes := startNodes(t)
	var operators, collector sync.WaitGroup
	stop := make(chan struct{})
	collector.Go(func() {
		unused := operator.UnusedBlobs(nil)
		for {
			collection, _ := operator.CollectBlobs(context.Background(), store, unused, 100)
			unused = collection.Unused
			select {
			case <-stop:
				return
			default:
			}
		}
	})
	for i, node := range nodes {
		operators.Go(func() {
			name := []string{"a", "bb"}[i]
			for round := range rounds {
				// Weights repeat, so that collected blobs are written again.
				for {
					status, _ := apply(NewWithT(t), node, fmt.Sprintf("%s-%d", name, round), name, 1+round%3)
					if status == http.StatusOK {
						break
					}
				}
			}
		})
	}
	operators.Wait()
	close(stop)
	collector.Wait()
	backend := &operatortest.Backend{Store: store}
	g.Expect(backend.Sync(t.Context())).To(Succeed(), "a blob of the manifest is missing")
	entries := backend.Configuration().Manifest.Entries
	g.Expect(entries["Caller/a"].Generation).To(Equal(rounds))
	g.Expect(entries["Caller/bb"].Generation).To(Equal(rounds))
}

func statusOf(status int, _ operator.ApplyResult) int {
	return status
}
