package main

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
)

// stuck is an output whose reader has stopped.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against requests that wait for a reader of the log.
func TestLogNeverBlocks(t *testing.T) {
	g := NewWithT(t)
	out := stuck{make(chan struct{})}
	lines := boundedLines(out)
	log := zerolog.New(lines)
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range 5 * keptLines {
			log.Info().Msg("request")
		}
	}()
	g.Eventually(written, "10s").Should(BeClosed())
	close(out.release)
	g.Expect(lines.Close()).To(Succeed())
}
