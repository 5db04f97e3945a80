package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/fireflychute/fireflychute/pkg/hopbyhop"
)

// Headers of the protocol between callers, nodes and targets.
const (
	HeaderOutcome        = "Fireflychute-Outcome"
	HeaderTimeout        = "Fireflychute-Timeout-Ms"
	HeaderDepth          = "Fireflychute-Depth"
	HeaderNoRetry        = "Fireflychute-No-Retry"
	HeaderRequestID      = "Fireflychute-Request-Id"
	HeaderNode           = "Fireflychute-Node"
	HeaderLoad           = "Fireflychute-Load"
	headerIdempotencyKey = "Idempotency-Key"
	// Headers of calls that one node relays to another.
	headerCaller  = "Fireflychute-Caller"
	headerVersion = "Fireflychute-Version"
	headerPrefix  = "Fireflychute-"
)

const (
	// maxDepth is the longest chain of calls; deeper ones are assumed to be a loop.
	maxDepth = 12
	// maxIDBytes is the maximum length of a request id set by a caller.
	maxIDBytes = 128
)

// removeInternalHeaders removes the headers with headerPrefix. The keys must be canonical.
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

// parseDepth returns the number of calls above this one in the chain; ok is false when the header
// is not a non-negative number.
func parseDepth(header http.Header) (depth int, ok bool) {
	value := header.Get(HeaderDepth)
	if value == "" {
		return 0, true
	}
	depth, err := strconv.Atoi(value)
	return depth, err == nil && depth >= 0
}

// parseTimeout returns the timeout of the call: limit, or the caller's if that is shorter.
func parseTimeout(header http.Header, limit time.Duration) time.Duration {
	millis, err := strconv.ParseInt(header.Get(HeaderTimeout), 10, 64)
	if err != nil || millis < 0 || millis >= limit.Milliseconds() {
		return limit
	}
	return time.Duration(millis) * time.Millisecond
}

// targetHeaders returns the headers for a target: the caller's without hop-by-hop and internal
// ones, plus those that the node sets.
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

// relayHeaders returns the headers for another node. The depth stays the same, since the other node
// sends the call to the target in place of this one, and only this node retries.
func relayHeaders(c *call, remaining time.Duration) http.Header {
	header := targetHeaders(c, remaining)
	header[HeaderDepth] = []string{strconv.Itoa(c.depth)}
	header[headerVersion] = []string{c.version.Name}
	if c.caller != nil {
		header[headerCaller] = []string{c.caller.Name}
	}
	return header
}

// copyResponseHeaders copies a target's headers except hop-by-hop headers and those that only nodes
// may set. A declared outcome is kept on responses with a 5xx status.
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
