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
	pollTime = 100 * time.Millisecond
	callTime = 2 * time.Second
)

// control is the client for administration calls, apart from the load.
var control = &http.Client{Timeout: callTime}

// errNotOffered tells that the other side does not know the address that was read.
var errNotOffered = errors.New("not found")

// getJSON reads one JSON document.
func getJSON(ctx context.Context, url string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "get")
	}
	answer, err := control.Do(request)
	if err != nil {
		return errors.Wrap(err, "get")
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return errors.Wrapf(err, "get %s", url)
	}
	if answer.StatusCode == http.StatusNotFound {
		return errors.Wrapf(errNotOffered, "get %s", url)
	}
	if answer.StatusCode != http.StatusOK {
		return errors.Errorf("get %s: %s", url, answer.Status)
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
	answer, err := control.Do(request)
	if err != nil {
		return errors.Wrap(err, "put")
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return errors.Errorf("put %s: %s", url, answer.Status)
	}
	return nil
}

// waitFor polls a URL until it answers 200.
func waitFor(ctx context.Context, url string, within time.Duration) error {
	deadline := time.Now().Add(within)
	for {
		err := getJSON(ctx, url, nil)
		if err == nil || time.Now().After(deadline) {
			return err
		}
		err = wait(ctx, pollTime)
		if err != nil {
			return err
		}
	}
}
