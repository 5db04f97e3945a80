package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/fireflychute/fireflychute/pkg/hopbyhop"
)

// Headers with a meaning to nodes, targets and callers.
const (
	HeaderOutcome        = "Fireflychute-Outcome"
	HeaderTimeout        = "Fireflychute-Timeout-Ms"
	HeaderDepth          = "Fireflychute-Depth"
	HeaderNoRetry        = "Fireflychute-No-Retry"
	HeaderRequestID      = "Fireflychute-Request-Id"
	HeaderNode           = "Fireflychute-Node"
	HeaderLoad           = "Fireflychute-Load"
	headerIdempotencyKey = "Idempotency-Key"
	// Headers on calls that one node hands over to another.
	headerCaller  = "Fireflychute-Caller"
	headerVersion = "Fireflychute-Version"
	headerPrefix  = "Fireflychute-"
)

const (
	// maxDepth is the longest chain of calls; deeper ones are taken for a loop.
	maxDepth = 12
	// maxIDBytes bounds a request id given by a caller.
	maxIDBytes = 128
)

// removeInternalHeaders removes the headers of this project. Keys are canonical here.
func removeInternalHeaders(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, headerPrefix) {
			delete(header, name)
		}
	}
}

func isUpgrade(r *http.Request) bool {
	return r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "" || httpguts.HeaderValuesContainsToken(r.Header["Connection"], "upgrade")
}

// parseDepth returns the number of calls above this one; ok is false when the
// header is no number.
func parseDepth(header http.Header) (depth int, ok bool) {
	value := header.Get(HeaderDepth)
	if value == "" {
		return 0, true
	}
	depth, err := strconv.Atoi(value)
	return depth, err == nil && depth >= 0
}

// parseTimeout returns the time for the call: the route's, or less if the caller says so.
func parseTimeout(header http.Header, limit time.Duration) time.Duration {
	millis, err := strconv.ParseInt(header.Get(HeaderTimeout), 10, 64)
	if err != nil || millis < 0 || millis >= limit.Milliseconds() {
		return limit
	}
	return time.Duration(millis) * time.Millisecond
}

// targetHeaders are the caller's headers without those that are not for the
// target, and with those that the node sets.
func targetHeaders(c *call, remaining time.Duration) http.Header {
	header := c.request.Header.Clone()
	hopbyhop.Remove(header)
	removeInternalHeaders(header)
	if _, set := header["User-Agent"]; !set {
		header["User-Agent"] = nil // keeps the Transport from adding its own
	}
	header[HeaderTimeout] = []string{strconv.FormatInt(max(remaining.Milliseconds(), 1), 10)}
	header[HeaderDepth] = []string{strconv.Itoa(c.depth + 1)}
	header[HeaderNoRetry] = []string{"1"}
	header[HeaderRequestID] = []string{c.id}
	return header
}

// relayHeaders are the headers for another node. The depth stays the same, since
// the other node sends the call to the target in place of this one, and only this
// node retries.
func relayHeaders(c *call, remaining time.Duration) http.Header {
	header := targetHeaders(c, remaining)
	header[HeaderDepth] = []string{strconv.Itoa(c.depth)}
	header[headerVersion] = []string{c.version.Name}
	if c.caller != nil {
		header[headerCaller] = []string{c.caller.Name}
	}
	return header
}

// copyResponseHeaders takes over a target's headers but for those that only nodes
// may set. A stated outcome is kept on refusals.
func copyResponseHeaders(to http.Header, response *http.Response) {
	outcome := response.Header.Get(HeaderOutcome)
	hopbyhop.Remove(response.Header)
	removeInternalHeaders(response.Header)
	for name, values := range response.Header {
		to[name] = values
	}
	if response.StatusCode >= http.StatusInternalServerError && (outcome == OutcomeNotRun || outcome == OutcomeUnknown) {
		to.Set(HeaderOutcome, outcome)
	}
}
