package platform

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Errors of the object API. Match them with errors.Is.
var (
	ErrNotFound       = errors.New("object not found")
	ErrConflict       = errors.New("object changed since it was read")
	ErrRateLimited    = errors.New("platform refused the call by rate")
	ErrUnavailable    = errors.New("platform unavailable")
	ErrUnknownOutcome = errors.New("answer lost; the write may have taken effect")
	ErrForgotten      = errors.New("platform no longer keeps the version to watch from")
)

// CallError says in which step a call failed and at which peer.
type CallError struct {
	Step string
	Peer string
	// RetryAfter is the platform's advice; zero when it gave none.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("platform %s at %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the error of this package that classifies the failure.
func (e *CallError) Unwrap() error {
	return e.Err
}
