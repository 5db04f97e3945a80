package main

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
)

// blockedWriter blocks each write until release is closed, like a pipe that is not read.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// Guards against requests blocking on a log whose reader has stopped. The test writes 5 times
// as many lines as are queued.
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
