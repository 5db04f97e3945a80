package objectstore

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Classes of failed calls. Match them with errors.Is.
var (
	ErrNotFound       = errors.New("object not found")
	ErrConflict       = errors.New("object changed since it was read, or exists already")
	ErrRateLimited    = errors.New("platform refused the call by rate")
	ErrUnavailable    = errors.New("platform unavailable")
	ErrUnknownOutcome = errors.New("answer lost; the write may have taken effect")
	ErrHistoryGone    = errors.New("platform no longer keeps the changes since the version")
)

// CallError says in which step a call failed and at which peer.
type CallError struct {
	Op   string
	Peer string
	// RetryAfter is the platform's advice; zero when it gave none.
	RetryAfter time.Duration
	// Class is one of the errors of this package.
	Class error
	// Cause is what the transport or the decoder said; nil where a status said it all.
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
