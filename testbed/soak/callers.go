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

// Bounds of the promises, from the pages of the users' platform.
const (
	// configurationBound is config-apply-s with max-skew-s, since the paths to the
	// store are disturbed.
	configurationBound = 7 * time.Second
	// touchTime is how long a node must have been calm to be held to a bound.
	touchTime = 3 * time.Second
	// answerSlack is how much later than its timeout a request may be answered.
	answerSlack = 500 * time.Millisecond
	callTimeout = 2 * time.Second
)

// callers send requests to all nodes and keep what they saw.
type callers struct {
	world    *world
	ids      atomic.Int64
	mu       sync.Mutex
	answers  map[string]int // status by request id, 0 without an answer
	unsafe   map[string]bool
	failures []string
	served   int
}

func newCallers(w *world) *callers {
	return &callers{world: w, answers: map[string]int{}, unsafe: map[string]bool{}}
}

func (c *callers) fail(format string, values ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = append(c.failures, fmt.Sprintf(format, values...))
}

// run calls one node until the context ends. Connections are kept, as callers do.
func (c *callers) run(ctx context.Context, n *node, kind string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
	for ctx.Err() == nil {
		c.call(ctx, client, n, kind)
		select {
		case <-ctx.Done():
		case <-time.After(15 * time.Millisecond):
		}
	}
}

func (c *callers) call(ctx context.Context, client *http.Client, n *node, kind string) {
	id := fmt.Sprintf("q%d", c.ids.Add(1))
	method := http.MethodGet
	if kind == "unsafe" {
		method = http.MethodPost
	}
	began := time.Now()
	limited, cancel := context.WithTimeout(ctx, callTimeout+time.Second)
	defer cancel()
	status, body, header := send(limited, client, n, method, "/"+kind+"/x", id)
	took := time.Since(began)
	c.mu.Lock()
	c.answers[id], c.unsafe[id] = status, kind == "unsafe"
	if status == http.StatusOK {
		c.served++
	}
	c.mu.Unlock()
	if status == http.StatusOK && (body != answerBody || header.Get("Fireflychute-Response-Seal") != instance.Seal(id, answerBody)) {
		c.fail("%s at %s: the answer is not the instance's", id, n.name)
	}
	if ctx.Err() == nil && took > callTimeout+answerSlack && n.calmFor() > touchTime+took {
		c.fail("%s at %s: no answer within %v", id, n.name, took)
	}
}

// send makes one call; without an answer the status is 0.
func send(ctx context.Context, client *http.Client, n *node, method, path, id string) (int, string, http.Header) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+path, nil)
	if err != nil {
		return 0, "", nil
	}
	request.Host = "h.example"
	request.Header.Set("Fireflychute-Request-Id", id)
	request.Header.Set("Fireflychute-Deadline-Ms", "2000")
	answer, err := client.Do(request)
	if err != nil {
		return 0, "", nil
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, "", nil
	}
	return answer.StatusCode, string(text), answer.Header
}

// checkRuns compares what callers were told with what the instances ran.
func (c *callers) checkRuns() {
	runs := map[string]int{}
	for _, i := range c.world.instances {
		for _, run := range i.Runs() {
			runs[run.RequestID]++
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, count := range runs {
		status, sent := c.answers[id]
		switch {
		case !sent && id[0] == 'q':
			c.failures = append(c.failures, id+": ran though no caller sent it")
		case c.unsafe[id] && count > 1:
			c.failures = append(c.failures, fmt.Sprintf("%s: a request that may run once ran %d times", id, count))
		case c.unsafe[id] && (status == 503 || status == 429 || status == 408 || status == 421):
			c.failures = append(c.failures, fmt.Sprintf("%s: answered %d and ran", id, status))
		}
	}
	if c.served == 0 {
		c.failures = append(c.failures, "no request was served")
	}
}
