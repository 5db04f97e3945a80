// Package liblog routes the log lines of net/http to the structured log.
package liblog

import (
	"bytes"
	"io"

	"github.com/rs/zerolog"
)

// New returns a writer for a log.Logger of the standard library, such as http.Server.ErrorLog.
func New(log zerolog.Logger) io.Writer { return lineWriter{log} }

type lineWriter struct{ log zerolog.Logger }

// Write implements io.Writer. Errors of clients and targets, for example failed handshakes, are
// logged at debug level, because they can be frequent and do not change the node's state. A panic
// is a fault of the node and is logged as an error.
func (l lineWriter) Write(line []byte) (int, error) {
	level := zerolog.DebugLevel
	if bytes.Contains(line, []byte("panic serving")) {
		level = zerolog.ErrorLevel
	}
	l.log.WithLevel(level).Msg(string(bytes.TrimSpace(line)))
	return len(line), nil
}
