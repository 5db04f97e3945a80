package peer

import (
	"io"
	"sync/atomic"
)

// Traffic counts the bytes of frames, without TLS and TCP.
type Traffic struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

// Sent returns how many bytes were written.
func (t *Traffic) Sent() uint64 { return t.sent.Load() }

// Received returns how many bytes were read.
func (t *Traffic) Received() uint64 { return t.received.Load() }

// countReads counts what is read from inner.
func (t *Traffic) countReads(inner io.Reader) io.Reader {
	return countingReader{inner, t}
}

type countingReader struct {
	inner   io.Reader
	traffic *Traffic
}

// Read implements io.Reader.
func (c countingReader) Read(p []byte) (int, error) {
	n, err := c.inner.Read(p)
	c.traffic.received.Add(uint64(n))
	return n, err
}
