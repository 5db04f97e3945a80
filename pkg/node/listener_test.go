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
func TestLinesOfTheServer(t *testing.T) {
	g := NewWithT(t)
	var text bytes.Buffer
	lines := log.New(liblog.New(zerolog.New(&text).Level(zerolog.InfoLevel).With().Str("address", "127.0.0.1:1").Logger()), "", 0)
	lines.Print("http: TLS handshake error from 127.0.0.1:2: EOF")
	g.Expect(text.String()).To(BeEmpty())
	lines.Print("http: panic serving 127.0.0.1:2: fault")
	g.Expect(text.String()).To(MatchJSON(`{"level":"error","address":"127.0.0.1:1","message":"http: panic serving 127.0.0.1:2: fault"}`))
}
