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

// adminClient is the client for administration calls, apart from the load.
var adminClient = &http.Client{Timeout: adminTimeout}

// errNotFound tells that the other side does not know the address that was read.
var errNotFound = errors.New("not found")

// getJSON reads one JSON document.
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
		return errors.Wrapf(err, "get %s", url)
	}
	if response.StatusCode == http.StatusNotFound {
		return errors.Wrapf(errNotFound, "get %s", url)
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("get %s: %s", url, response.Status)
	}
	if into == nil {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(body, into), "get %s", url)
}

// putJSON writes one JSON document.
func putJSON(ctx context.Context, url string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "put")
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
		return errors.Errorf("put %s: %s", url, response.Status)
	}
	return nil
}

// waitForOK polls a URL until it answers 200.
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
