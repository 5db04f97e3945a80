package transport

import (
	"fmt"

	"github.com/pkg/errors"
)

// Step is the step at which an exchange with a target failed.
type Step string

// Steps of an exchange.
const (
	StepDial       Step = "dial"
	StepWrite      Step = "write"
	StepReadHeader Step = "read header"
	StepReadBody   Step = "read body"
)

// Errors of guarded connections.
var (
	// ErrConnectionLimit means that the client already has the maximum of connections to the target.
	ErrConnectionLimit = errors.New("connection limit of the target reached")
	// ErrSealed means that the request was abandoned before its first byte was sent.
	ErrSealed = errors.New("connection sealed")
	// ErrResend means that a request of which some bytes were sent would be sent again.
	ErrResend = errors.New("request would be sent a second time")
	// ErrUnsolicited means that the target sent data that belongs to no request.
	ErrUnsolicited = errors.New("target sent an answer that was not asked for")
	// ErrResponseMismatch means that the response carries the id of another request.
	ErrResponseMismatch = errors.New("answer belongs to another request")
	// ErrStale means that the target had closed the idle connection.
	ErrStale = errors.New("target closed the idle connection")
)

// Error is a failed exchange with a target.
type Error struct {
	Step Step
	// Target is the address of the target.
	Target string
	// NotRun is set if no byte of the request was sent, and none will be.
	NotRun bool
	// Refused is set if the target refused the connection.
	Refused bool
	Err     error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: target %s: %v", e.Step, e.Target, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
