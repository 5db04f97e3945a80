// Package hopbyhop removes hop-by-hop HTTP headers, which concern one connection only and must not
// be forwarded.
package hopbyhop

import (
	"net/http"
	"strings"
)

var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// Remove removes the hop-by-hop headers and those that the Connection header names.
func Remove(header http.Header) {
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		delete(header, name)
	}
}
