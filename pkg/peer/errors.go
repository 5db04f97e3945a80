package peer

import (
	"fmt"

	"github.com/pkg/errors"
)

// Errors returned by this package, possibly wrapped. Match them with errors.Is.
var (
	ErrFrameTooLarge = errors.Errorf("message exceeds the frame limit of %d bytes", MaxFrameBytes)
	ErrQueueFull     = errors.New("send queue of the peer is full; message dropped")
	ErrClosed        = errors.New("peer client is closed")
	ErrDisconnected  = errors.New("connection closed before the reply arrived")
)

// Error is the failure of an operation with the peer address it was performed on.
type Error struct {
	Op   string
	Peer string
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("peer %s %s: %v", e.Op, e.Peer, e.Err)
}

// Unwrap returns the cause of the failure.
func (e *Error) Unwrap() error {
	return e.Err
}

func wrapError(op, peer string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Op: op, Peer: peer, Err: err}
}
