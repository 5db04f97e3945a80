package retry

import "sync/atomic"

// Outcome states whether a request was executed.
type Outcome string

// Outcomes. NotRun and Unknown are also values of the header Fireflychute-Outcome on failed
// requests.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not-run"
	Unknown  Outcome = "unknown"
)

const (
	// MaxAttempts limits the attempts of one request. Those with an unknown outcome are retried at
	// most once.
	MaxAttempts = 3
	// tokensPerRetry is the cost of a retry in successes. Ten limits retries to 10 percent of the
	// successes.
	tokensPerRetry = 10
	// reserveRetries is the number of retries that are allowed without any success.
	reserveRetries = 10
	fullBudget     = reserveRetries * tokensPerRetry
)

// Failure describes a failed attempt.
type Failure struct {
	// NotSent is set if no byte of the request was sent or will be sent.
	NotSent bool
	// Status is the HTTP status of the response, 0 without a response.
	Status int
	// Declared is the outcome that the response states in its header.
	Declared Outcome
}

// Classify returns NotRun only if the request cannot have reached the application.
func Classify(failure Failure) Outcome {
	if failure.NotSent || failure.Status == 503 && failure.Declared == NotRun {
		return NotRun
	}
	return Unknown
}

// Attempt describes a failed attempt and the request to which it belongs.
type Attempt struct {
	Outcome Outcome
	// Attempts counts the attempts so far, including the failed one.
	Attempts int
	// UnknownOutcomes counts the attempts so far with an unknown outcome, including the failed one.
	UnknownOutcomes int
	Idempotent      bool
	// Depth is the number of calls above this one in the call chain.
	Depth int
	// NoRetry is set if the caller forbids a retry.
	NoRetry bool
	// BodyConsumed is set if a part of the request body has been read and cannot be sent again.
	BodyConsumed bool
	// Expired is set if the deadline has passed or the caller has gone.
	Expired bool
}

// Decision states whether to retry. If not, Outcome is the outcome of the request.
type Decision struct {
	Retry   bool
	Outcome Outcome
	Reason  string
}

// Budget limits the retries of requests with an unknown outcome to 10 percent of the successes,
// plus a reserve of 10. The zero value is a full budget. It is safe for concurrent use.
type Budget struct {
	// spent is the used part of a full budget, in tenths of a retry.
	spent atomic.Int64
}

// Decide returns whether to retry after a failed attempt. Once an attempt of a request had an
// unknown outcome, the outcome of the request stays Unknown whatever the later attempts return.
func (b *Budget) Decide(attempt Attempt) Decision {
	outcome := attempt.Outcome
	if attempt.UnknownOutcomes > 0 {
		outcome = Unknown
	}
	reason := b.denialReason(attempt, outcome)
	return Decision{Retry: reason == "", Outcome: outcome, Reason: reason}
}

// denialReason returns why a retry is not allowed, or an empty string. It acquires budget for a
// retry after an unknown outcome.
func (b *Budget) denialReason(attempt Attempt, outcome Outcome) string {
	switch {
	case attempt.Expired:
		return "deadline passed or caller left"
	case attempt.BodyConsumed:
		return "request body is consumed"
	case attempt.Attempts >= MaxAttempts:
		return "tries used up"
	case outcome == NotRun:
		return ""
	case !attempt.Idempotent:
		return "kind of work is not idempotent"
	case attempt.Outcome == NotRun:
		return "" // the budget already covers a second execution, and it has not happened yet
	case attempt.UnknownOutcomes > 1:
		return "already retried once"
	case attempt.Depth > 0 || attempt.NoRetry:
		return "only the outermost call is retried"
	case !b.acquire():
		return "retry budget used up"
	default:
		return ""
	}
}

// RecordSuccess adds a tenth of a retry to the budget.
func (b *Budget) RecordSuccess() {
	for {
		spent := b.spent.Load()
		if spent == 0 || b.spent.CompareAndSwap(spent, spent-1) {
			return
		}
	}
}

func (b *Budget) acquire() bool {
	for {
		spent := b.spent.Load()
		if spent+tokensPerRetry > fullBudget {
			return false
		}
		if b.spent.CompareAndSwap(spent, spent+tokensPerRetry) {
			return true
		}
	}
}
