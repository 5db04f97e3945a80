package node

import (
	"bytes"
	"log"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/fireflychute/fireflychute/pkg/liblog"
)

// Guards against lines of net/http that are not JSON, against clients that flood
// the log with failed handshakes, and against a panic that is not seen.
func TestServerErrorLog(t *testing.T) {
	g := NewWithT(t)
	var output bytes.Buffer
	logger := log.New(liblog.New(zerolog.New(&output).Level(zerolog.InfoLevel).With().Str("address", "127.0.0.1:1").Logger()), "", 0)
	logger.Print("http: TLS handshake error from 127.0.0.1:2: EOF")
	g.Expect(output.String()).To(BeEmpty())
	logger.Print("http: panic serving 127.0.0.1:2: fault")
	g.Expect(output.String()).To(MatchJSON(`{"level":"error","address":"127.0.0.1:1","message":"http: panic serving 127.0.0.1:2: fault"}`))
}
