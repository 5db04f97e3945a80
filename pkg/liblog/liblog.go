// Package liblog takes the lines that net/http logs by itself into the structured log.
package liblog

import (
	"bytes"
	"io"

	"github.com/rs/zerolog"
)

// New returns a writer for a logger of the standard library.
func New(log zerolog.Logger) io.Writer { return lineWriter{log} }

type lineWriter struct{ log zerolog.Logger }

// Write implements io.Writer. Faults of clients and targets, for example failed
// handshakes, are no change of state of the node and can be many; a panic is a fault of
// the node.
func (l lineWriter) Write(line []byte) (int, error) {
	level := zerolog.DebugLevel
	if bytes.Contains(line, []byte("panic serving")) {
		level = zerolog.ErrorLevel
	}
	l.log.WithLevel(level).Msg(string(bytes.TrimSpace(line)))
	return len(line), nil
}
