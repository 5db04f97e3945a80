package operator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/objectstore"
)

// retryAfterSeconds is the advice when the platform gives none.
const retryAfterSeconds = 2

func writeResponse(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// writeError sends an error as JSON. An untyped error is an internal one.
func writeError(w http.ResponseWriter, err error) {
	var apiError *Error
	if !errors.As(err, &apiError) {
		apiError = internalError(err)
	}
	w.Header().Set("Content-Type", "application/json")
	if apiError.RetryAfterSeconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(apiError.RetryAfterSeconds))
	}
	w.WriteHeader(apiError.status)
	_ = json.NewEncoder(w).Encode(apiError)
}

func notFound(message string) *Error {
	return &Error{status: http.StatusNotFound, Code: CodeNotFound, Message: message}
}

func badRequest(message string) *Error {
	return &Error{status: http.StatusBadRequest, Code: CodeBadRequest, Message: message}
}

func internalError(err error) *Error {
	return &Error{status: http.StatusInternalServerError, Code: CodeInternal, Message: err.Error()}
}

// platformError makes an answer from a failed call of the platform. Repeating
// the request with the same operation id is safe in every case. uncertain tells
// that the change may have been committed.
func platformError(change change, err error, outcomeUnknown bool) error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	response := &Error{
		status: http.StatusServiceUnavailable, Code: CodePlatformUnavailable, Operation: change.operation,
		Message:           "the change was not accepted: " + err.Error(),
		RetryAfterSeconds: retryAfterSeconds,
	}
	if outcomeUnknown {
		response.Code = CodeUnknownOutcome
		response.Message = "the change may have been accepted; repeat it with the same operation id: " + err.Error()
	}
	var callError *objectstore.CallError
	if errors.As(err, &callError) && callError.RetryAfter > 0 {
		response.RetryAfterSeconds = int((callError.RetryAfter + time.Second - 1) / time.Second)
	}
	return response
}
