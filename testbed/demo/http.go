package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	pollInterval = 100 * time.Millisecond
	adminTimeout = 2 * time.Second
)

// adminClient makes health checks and administrative requests, on connections separate from the
// load's.
var adminClient = &http.Client{Timeout: adminTimeout}

// errNotFound is returned for a 404 response.
var errNotFound = errors.New("not found")

// getJSON fetches a JSON document and decodes it into a value, unless into is nil.
func getJSON(ctx context.Context, url string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "get")
	}
	response, err := adminClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "get")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrapf(err, "get %s: read body", url)
	}
	if response.StatusCode == http.StatusNotFound {
		return errors.Wrapf(errNotFound, "get %s", url)
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("get %s: got status %s, expected 200", url, response.Status)
	}
	if into == nil {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(body, into), "get %s: decode body", url)
}

// putJSON sends value as a JSON document.
func putJSON(ctx context.Context, url string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode body of put request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "put")
	}
	response, err := adminClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "put")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("put %s: got status %s, expected 200", url, response.Status)
	}
	return nil
}

// waitForOK polls a URL until the response is 200 or timeout has passed.
func waitForOK(ctx context.Context, url string, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for {
		err := getJSON(ctx, url, nil)
		if err == nil || time.Now().After(deadline) {
			return err
		}
		err = sleep(ctx, pollInterval)
		if err != nil {
			return err
		}
	}
}
