package main

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
)

// blockedWriter is an output whose reader has stopped.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against requests that wait for a reader of the log.
func TestLogNeverBlocks(t *testing.T) {
	g := NewWithT(t)
	out := blockedWriter{make(chan struct{})}
	logWriter := newLogWriter(out)
	log := zerolog.New(logWriter)
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range 5 * logQueueLines {
			log.Info().Msg("request")
		}
	}()
	g.Eventually(written, "10s").Should(BeClosed())
	close(out.release)
	g.Expect(logWriter.Close()).To(Succeed())
}
