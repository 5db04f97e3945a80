package cli

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/operator"
)

const (
	// callTime bounds one call at one node.
	callTime = 45 * time.Second
	// maxAnswerBytes bounds one answer.
	maxAnswerBytes = 64 << 20
	// writeRounds is how often a write goes over all nodes while its outcome is unknown.
	writeRounds = 3
	// retryPause is the pause between two rounds.
	retryPause = time.Second
)

// ErrUnreachable is returned when no node answered.
var ErrUnreachable = errors.New("no node answered; check --node and that the nodes run")

// Client calls the resource API. Several nodes are tried in order.
type Client struct {
	nodes []string
	http  *http.Client
	pause func(context.Context, time.Duration)
}

// NewClient returns a client for the base URLs of nodes, for example
// "http://127.0.0.1:8101". A nil transport takes the default one.
func NewClient(nodes []string, transport http.RoundTripper) *Client {
	return &Client{nodes: nodes, http: &http.Client{Transport: transport, Timeout: callTime}, pause: pause}
}

// Get reads a path from the first node that answers. A refusal by a node is of
// type *operator.Error.
func (c *Client) Get(ctx context.Context, path string, into any) error {
	_, err := c.firstAnswer(ctx, http.MethodGet, path, nil, into)
	return err
}

// Apply sends a change. When an answer is lost, the same request with the same
// operation id goes to the next node, so that it is applied once.
func (c *Client) Apply(ctx context.Context, request operator.ApplyRequest, dryRun bool) (operator.ApplyResult, error) {
	var result operator.ApplyResult
	if request.Operation == "" {
		request.Operation = rand.Text()
	}
	body, err := json.Marshal(request)
	if err != nil {
		return result, errors.Wrap(err, "encode request")
	}
	path := "/v1/apply"
	if dryRun {
		path += "?dryRun=true"
	}
	err = c.write(ctx, path, body, &result)
	return result, errors.Wrapf(err, "apply (operation %s)", request.Operation)
}

func (c *Client) write(ctx context.Context, path string, body []byte, into any) error {
	for round := 1; ; round++ {
		retry, err := c.firstAnswer(ctx, http.MethodPost, path, body, into)
		if !retry || round == writeRounds || ctx.Err() != nil {
			return err
		}
		c.pause(ctx, retryPause)
	}
}

// firstAnswer tries the nodes in order until one answers for good. It reports
// whether another round can help.
func (c *Client) firstAnswer(ctx context.Context, method, path string, body []byte, into any) (bool, error) {
	failure := error(ErrUnreachable)
	for _, node := range c.nodes {
		retry, err := c.call(ctx, method, node+path, body, into)
		if !retry {
			return false, err
		}
		failure = err
	}
	return true, failure
}

// call makes one call. It reports whether another node may do better: the node
// was not reached, its answer was lost, or it cannot reach the platform.
func (c *Client) call(ctx context.Context, method, address string, body []byte, into any) (bool, error) {
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return false, errors.Wrapf(err, "node address %s", address)
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := c.http.Do(request)
	if err != nil {
		return true, errors.Wrap(ErrUnreachable, err.Error())
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return true, errors.Wrap(ErrUnreachable, "answer lost: "+err.Error())
	}
	if answer.StatusCode != http.StatusOK {
		return answer.StatusCode == http.StatusServiceUnavailable, refusal(answer, text)
	}
	return false, errors.Wrap(json.Unmarshal(text, into), "decode answer")
}

func refusal(answer *http.Response, text []byte) error {
	var typed operator.Error
	err := json.Unmarshal(text, &typed)
	if err != nil || typed.Code == "" {
		return errors.Errorf("%s: %s", answer.Status, strings.TrimSpace(string(text)))
	}
	return &typed
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Watch waits for a change of the revision or of a status at a node.
func (c *Client) Watch(ctx context.Context, known operator.WatchResult, wait time.Duration) (operator.WatchResult, error) {
	query := url.Values{}
	query.Set("revision", strconv.FormatUint(known.Revision, 10))
	query.Set("status", strconv.FormatUint(known.Status, 10))
	query.Set("timeout", wait.String())
	var result operator.WatchResult
	return result, c.Get(ctx, "/v1/watch?"+query.Encode(), &result)
}
