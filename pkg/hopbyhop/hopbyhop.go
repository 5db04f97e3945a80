// Package hopbyhop knows the HTTP headers that concern one connection only and are
// not passed on.
package hopbyhop

import (
	"net/http"
	"strings"
)

var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// Remove removes the headers of one connection and those that its Connection header
// names.
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
