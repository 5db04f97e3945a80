package transport

import (
	"fmt"

	"github.com/pkg/errors"
)

// Step is the step of an exchange with a target at which it failed.
type Step string

// Steps of an exchange.
const (
	StepDial       Step = "dial"
	StepWrite      Step = "write"
	StepReadHeader Step = "read header"
	StepReadBody   Step = "read body"
)

// Errors of the connection guard.
var (
	// ErrConnectionLimit means that the target already has as many connections as allowed.
	ErrConnectionLimit = errors.New("connection limit of the target reached")
	// ErrSealed means that the request was given up before its first byte was sent.
	ErrSealed = errors.New("connection sealed")
	// ErrResend means that a request of which bytes were sent would be sent again.
	ErrResend = errors.New("request would be sent a second time")
	// ErrUnsolicited means that the target sent data that no request asked for.
	ErrUnsolicited = errors.New("target sent an answer that was not asked for")
	// ErrResponseMismatch means that the answer names another request.
	ErrResponseMismatch = errors.New("answer belongs to another request")
	// ErrStale means that the target had closed the idle connection.
	ErrStale = errors.New("target closed the idle connection")
)

// Error is a failed exchange with a target.
type Error struct {
	Step Step
	// Peer is the address of the target.
	Peer string
	// NotRun tells that no byte of the request was sent, nor will be.
	NotRun bool
	// Refused tells that the target refused the connection.
	Refused bool
	Err     error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: target %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
