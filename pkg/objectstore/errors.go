package objectstore

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Classes of failed calls, to be matched with errors.Is.
var (
	ErrNotFound       = errors.New("object not found")
	ErrConflict       = errors.New("object changed since it was read, or exists already")
	ErrRateLimited    = errors.New("platform refused the call by rate")
	ErrUnavailable    = errors.New("platform unavailable")
	ErrUnknownOutcome = errors.New("answer lost; the write may have taken effect")
	ErrHistoryGone    = errors.New("platform no longer keeps the changes since the version")
)

// CallError is the error of a failed call to the store. It names the operation and the server.
type CallError struct {
	// Op is the operation, for example "get fireflychute-lease".
	Op string
	// Peer is the address of the server.
	Peer string
	// RetryAfter is the wait requested by the platform before a retry; 0 if it requested none.
	RetryAfter time.Duration
	// Class is one of the error values of this package.
	Class error
	// Cause is the error of the transport or the decoder, or the status code; it may be nil.
	Cause error
}

// Error implements error.
func (e *CallError) Error() string {
	text := fmt.Sprintf("platform %s at %s: %v", e.Op, e.Peer, e.Class)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the class and the cause.
func (e *CallError) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Class}
	}
	return []error{e.Class, e.Cause}
}
