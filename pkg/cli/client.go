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
	// callTimeout bounds one call to one node.
	callTimeout = 45 * time.Second
	// maxResponseBytes bounds the size of one response body.
	maxResponseBytes = 64 << 20
	// maxWriteRounds bounds how often a write is tried on all nodes while its outcome is
	// unknown.
	maxWriteRounds = 3
	// retryInterval is the wait between two rounds, and between two attempts of an edit.
	retryInterval = time.Second
)

// ErrUnreachable is returned when no node responded.
var ErrUnreachable = errors.New("no node responded; check --node and that the nodes are running")

// Client calls the resource API of the nodes, trying them in order.
type Client struct {
	nodes []string
	http  *http.Client
	sleep func(context.Context, time.Duration)
}

// NewClient returns a client for the base URLs of nodes, for example
// "http://127.0.0.1:8101". A nil transport selects http.DefaultTransport.
func NewClient(nodes []string, transport http.RoundTripper) *Client {
	return &Client{nodes: nodes, http: &http.Client{Transport: transport, Timeout: callTimeout}, sleep: waitFor}
}

// Get reads a path from the first node that responds and decodes the response. An error
// returned by a node is of type *operator.Error.
func (c *Client) Get(ctx context.Context, path string, into any) error {
	_, err := c.tryNodes(ctx, http.MethodGet, path, nil, into)
	return err
}

// Apply sends a change. When a response is lost, the same request is sent to the next node
// with the same operation id, so that the change is applied only once.
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
		retry, err := c.tryNodes(ctx, http.MethodPost, path, body, into)
		if !retry || round == maxWriteRounds || ctx.Err() != nil {
			return err
		}
		c.sleep(ctx, retryInterval)
	}
}

// tryNodes calls the nodes in order until one returns a final result. It reports whether
// another round over the nodes may succeed.
func (c *Client) tryNodes(ctx context.Context, method, path string, body []byte, into any) (bool, error) {
	lastErr := error(ErrUnreachable)
	for _, node := range c.nodes {
		retry, err := c.call(ctx, method, node+path, body, into)
		if !retry {
			return false, err
		}
		lastErr = err
	}
	return true, lastErr
}

// call makes one call to one node. It reports whether another node may succeed, because
// this one was not reached, its response was lost, or it responded 503, for example when
// it cannot reach the platform.
func (c *Client) call(ctx context.Context, method, address string, body []byte, into any) (bool, error) {
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return false, errors.Wrapf(err, "create request to %s", address)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return true, errors.Wrap(ErrUnreachable, err.Error())
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return true, errors.Wrapf(ErrUnreachable, "response from %s lost: %v", address, err)
	}
	if response.StatusCode != http.StatusOK {
		return response.StatusCode == http.StatusServiceUnavailable, responseError(response, responseBody)
	}
	return false, errors.Wrapf(json.Unmarshal(responseBody, into), "decode response from %s", address)
}

// responseError returns the *operator.Error of an error response, or an error with the
// status and the body when the body is not one.
func responseError(response *http.Response, body []byte) error {
	var apiErr operator.Error
	err := json.Unmarshal(body, &apiErr)
	if err != nil || apiErr.Code == "" {
		return errors.Errorf("%s: %s", response.Status, strings.TrimSpace(string(body)))
	}
	return &apiErr
}

// waitFor waits for the duration or until the context ends.
func waitFor(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Watch waits up to the given time for a node to report a revision or status version that
// differs from the last result.
func (c *Client) Watch(ctx context.Context, last operator.WatchResult, wait time.Duration) (operator.WatchResult, error) {
	query := url.Values{}
	query.Set("revision", strconv.FormatUint(last.Revision, 10))
	query.Set("status", strconv.FormatUint(last.Status, 10))
	query.Set("timeout", wait.String())
	var result operator.WatchResult
	return result, c.Get(ctx, "/v1/watch?"+query.Encode(), &result)
}
