package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
)

const (
	// maxAnswerBytes bounds one answer; values are at most 1 MB, lists hold many.
	maxAnswerBytes = 16 << 20
	// watchTime is how long the platform holds a watch open without an event.
	watchTime = 20 * time.Second
	// callTime bounds every call that is not a watch.
	callTime = 5 * time.Second
)

// Client implements Store over HTTP.
type Client struct {
	base string
	http *http.Client
}

var _ Store = (*Client)(nil)

// NewClient returns a client for the platform at base, for example
// "http://127.0.0.1:7000". A nil transport takes the default one.
func NewClient(base string, transport http.RoundTripper) *Client {
	return &Client{base: base, http: &http.Client{Transport: transport}}
}

// list is the answer to a list call.
type list struct {
	Version uint64   `json:"version"`
	Objects []Object `json:"objects"`
}

// events is the answer to a watch.
type events struct {
	Version uint64  `json:"version"`
	Events  []Event `json:"events"`
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var object Object
	err := c.read(ctx, "get "+kind, objectPath(kind, name), callTime, &object)
	return object, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, kind string) ([]Object, uint64, error) {
	var answer list
	err := c.read(ctx, "list "+kind, "/v1/objects/"+url.PathEscape(kind), callTime, &answer)
	return answer.Objects, answer.Version, err
}

// Create implements Store.
func (c *Client) Create(ctx context.Context, kind, name string, value []byte) (uint64, error) {
	header := http.Header{"If-None-Match": {"*"}}
	return c.write(ctx, "create "+kind, http.MethodPut, objectPath(kind, name), header, value)
}

// Update implements Store.
func (c *Client) Update(ctx context.Context, kind, name string, value []byte, ifVersion uint64) (uint64, error) {
	header := http.Header{"If-Match": {quoteVersion(ifVersion)}}
	return c.write(ctx, "update "+kind, http.MethodPut, objectPath(kind, name), header, value)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, kind, name string, ifVersion uint64) error {
	header := http.Header{"If-Match": {quoteVersion(ifVersion)}}
	_, err := c.write(ctx, "delete "+kind, http.MethodDelete, objectPath(kind, name), header, nil)
	return err
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, kind string, after uint64) ([]Event, uint64, error) {
	query := url.Values{}
	query.Set("kind", kind)
	query.Set("after", strconv.FormatUint(after, 10))
	query.Set("timeout", watchTime.String())
	var answer events
	err := c.read(ctx, "watch "+kind, "/v1/watch?"+query.Encode(), watchTime+callTime, &answer)
	return answer.Events, answer.Version, err
}

// VMs implements Store.
func (c *Client) VMs(ctx context.Context, after uint64) (api.VMList, error) {
	query := url.Values{}
	query.Set("after", strconv.FormatUint(after, 10))
	query.Set("timeout", watchTime.String())
	var answer api.VMList
	err := c.read(ctx, "list VMs", "/v1/vms?"+query.Encode(), watchTime+callTime, &answer)
	return answer, err
}

func (c *Client) read(ctx context.Context, step, path string, limit time.Duration, into any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return c.fail(step, ErrUnavailable, 0)
	}
	answer, err := c.http.Do(request)
	if err != nil {
		return c.fail(step, ErrUnavailable, 0)
	}
	defer drain(answer.Body)
	if answer.StatusCode != http.StatusOK {
		return c.fail(step, statusError(answer.StatusCode), retryAfter(answer))
	}
	err = json.NewDecoder(io.LimitReader(answer.Body, maxAnswerBytes)).Decode(into)
	if err != nil {
		return c.fail(step, ErrUnavailable, 0)
	}
	return nil
}

func (c *Client) write(ctx context.Context, step, method, path string, header http.Header, value []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(value))
	if err != nil {
		return 0, c.fail(step, ErrUnavailable, 0)
	}
	request.Header = header
	// Without GetBody the transport does not resend a write whose answer was lost.
	request.GetBody = nil
	answer, err := c.http.Do(request)
	if err != nil {
		return 0, c.fail(step, ErrUnknownOutcome, 0)
	}
	defer drain(answer.Body)
	if answer.StatusCode != http.StatusOK {
		return 0, c.fail(step, writeStatusError(answer.StatusCode), retryAfter(answer))
	}
	var object Object
	err = json.NewDecoder(io.LimitReader(answer.Body, maxAnswerBytes)).Decode(&object)
	if err != nil {
		return 0, c.fail(step, ErrUnknownOutcome, 0)
	}
	return object.Version, nil
}

func (c *Client) fail(step string, err error, after time.Duration) error {
	return &CallError{Step: step, Peer: c.base, RetryAfter: after, Err: err}
}

func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func quoteVersion(version uint64) string {
	return fmt.Sprintf("%q", strconv.FormatUint(version, 10))
}

func statusError(status int) error {
	switch status {
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict, http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusTooManyRequests:
		return ErrRateLimited
	case http.StatusGone:
		return ErrForgotten
	default:
		return ErrUnavailable
	}
}

// writeStatusError classifies the status of a write. Of the server errors only
// 503 is a refusal; the others can come from a gateway, or from a step after the
// write took effect.
func writeStatusError(status int) error {
	if status >= http.StatusInternalServerError && status != http.StatusServiceUnavailable {
		return ErrUnknownOutcome
	}
	return statusError(status)
}

func retryAfter(answer *http.Response) time.Duration {
	seconds, err := strconv.Atoi(answer.Header.Get("Retry-After"))
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

func drain(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxAnswerBytes))
	_ = body.Close()
}
