package peer

import (
	"fmt"

	"github.com/pkg/errors"
)

// Errors of this package. Match them with errors.Is.
var (
	ErrFrameTooLarge = errors.New("frame exceeds the limit")
	ErrQueueFull     = errors.New("queue to the peer is full")
	ErrClosed        = errors.New("client is closed")
	ErrDisconnected  = errors.New("connection ended before the answer")
)

// Error says in which step an exchange failed and with which peer.
type Error struct {
	Op   string
	Peer string
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("peer %s with %s: %v", e.Op, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

func wrapError(op, peer string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Op: op, Peer: peer, Err: err}
}
