package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflychute/fireflychute/testbed/instance"
)

// Bounds that nodes must keep, derived from the documentation of the users' platform.
const (
	// configApplyBound is the sum of the platform's config-apply-s and max-skew-s. The latter is
	// included because the paths to the store are subject to faults.
	configApplyBound = 7 * time.Second
	// minFaultFreeTime is how long a node must have been free of faults before time bounds apply
	// to it.
	minFaultFreeTime = 3 * time.Second
	// responseSlack is how long after its timeout a request may still receive its response.
	responseSlack = 500 * time.Millisecond
	callTimeout   = 2 * time.Second
)

// loadGenerator sends requests to all nodes and records their outcomes and all failed checks.
type loadGenerator struct {
	cluster  *cluster
	lastID   atomic.Int64
	mu       sync.Mutex
	statuses map[string]int // status by request id, 0 without a response
	isUnsafe map[string]bool
	failures []string
	served   int
}

func newLoadGenerator(w *cluster) *loadGenerator {
	return &loadGenerator{cluster: w, statuses: map[string]int{}, isUnsafe: map[string]bool{}}
}

func (g *loadGenerator) addFailure(format string, values ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failures = append(g.failures, fmt.Sprintf(format, values...))
}

// callsPerSecond is the number of requests per second of one kind to all nodes together, as far as
// they are answered at once.
const callsPerSecond = 4 / 0.015

// run sends requests to one node until the context ends. It reuses connections, as callers do.
func (g *loadGenerator) run(ctx context.Context, n *node, kind string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
	pause := time.Duration(float64(len(g.cluster.nodes)) / callsPerSecond * float64(time.Second))
	for ctx.Err() == nil {
		g.call(ctx, client, n, kind)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (g *loadGenerator) call(ctx context.Context, client *http.Client, n *node, kind string) {
	id := fmt.Sprintf("q%d", g.lastID.Add(1))
	method := http.MethodGet
	if kind == "unsafe" {
		method = http.MethodPost
	}
	start := time.Now()
	requestCtx, cancel := context.WithTimeout(ctx, callTimeout+time.Second)
	defer cancel()
	status, body, header := sendRequest(requestCtx, client, n, method, "/"+kind+"/x", id)
	elapsed := time.Since(start)
	g.mu.Lock()
	g.statuses[id], g.isUnsafe[id] = status, kind == "unsafe"
	if status == http.StatusOK {
		g.served++
	}
	g.mu.Unlock()
	if status == http.StatusOK && (body != responseBody || header.Get("Fireflychute-Response-Seal") != instance.Seal(id, responseBody)) {
		g.addFailure("request %s to %s: the body or seal of the response is not the instance's", id, n.name)
	}
	if ctx.Err() == nil && elapsed > callTimeout+responseSlack && n.faultFreeTime() > minFaultFreeTime+elapsed {
		g.addFailure("request %s to %s: past its timeout, ended after %v", id, n.name, elapsed)
	}
}

// sendRequest returns status, body and header of the response; without a complete one the status is
// 0.
func sendRequest(ctx context.Context, client *http.Client, n *node, method, path, id string) (int, string, http.Header) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.frontAddress+path, nil)
	if err != nil {
		return 0, "", nil
	}
	request.Host = "h.example"
	request.Header.Set("Fireflychute-Request-Id", id)
	request.Header.Set("Fireflychute-Deadline-Ms", "2000")
	response, err := client.Do(request)
	if err != nil {
		return 0, "", nil
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "", nil
	}
	return response.StatusCode, string(body), response.Header
}

// checkExecutions compares the responses that callers received with the requests that instances
// executed.
func (g *loadGenerator) checkExecutions() {
	executions := map[string]int{}
	for _, i := range g.cluster.instances {
		for _, execution := range i.Runs() {
			executions[execution.RequestID]++
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, count := range executions {
		status, sent := g.statuses[id]
		switch {
		case !sent && id[0] == 'q':
			g.failures = append(g.failures, id+": executed, but no caller sent it")
		case g.isUnsafe[id] && count > 1:
			g.failures = append(g.failures, fmt.Sprintf("%s: non-idempotent request executed %d times", id, count))
		case g.isUnsafe[id] && (status == 503 || status == 429 || status == 408 || status == 421):
			g.failures = append(g.failures, fmt.Sprintf("%s: rejected with status %d, but executed", id, status))
		}
	}
	if g.served == 0 {
		g.failures = append(g.failures, "no request received status 200")
	}
}
