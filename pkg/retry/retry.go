package retry

import "sync/atomic"

// Outcome tells what is known of the run of a request.
type Outcome string

// Outcomes; those of requests that failed are as in the header Fireflychute-Outcome.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not-run"
	Unknown  Outcome = "unknown"
)

const (
	// MaxAttempts bounds the tries of one request that was not run.
	MaxAttempts = 3
	// tokensPerRetry makes a retry cost ten successes: 10 percent.
	tokensPerRetry = 10
	// reserveRetries is how many retries are allowed without any success.
	reserveRetries = 10
	fullBudget     = reserveRetries * tokensPerRetry
)

// Failure is what is known of one failed try.
type Failure struct {
	// NotSent tells that no byte of the request was sent, nor will be.
	NotSent bool
	// Status is the answer's status, 0 without an answer.
	Status int
	// Declared is the outcome that the answer states.
	Declared Outcome
}

// Classify returns NotRun only when the request cannot have reached the application.
func Classify(failure Failure) Outcome {
	if failure.NotSent || failure.Status == 503 && failure.Declared == NotRun {
		return NotRun
	}
	return Unknown
}

// Attempt is a request after a failed try.
type Attempt struct {
	Outcome Outcome
	// Attempts counts the tries so far, the failed one included.
	Attempts int
	// UnknownOutcomes counts the tries so far with an unknown outcome, the failed one included.
	UnknownOutcomes int
	Idempotent      bool
	// Depth is the number of calls above this one in the chain.
	Depth   int
	NoRetry bool
	// BodyConsumed tells that a part of the request's body is gone.
	BodyConsumed bool
	// Expired tells that the deadline has passed or the caller left.
	Expired bool
}

// Decision says whether to try again and, if not, the request's outcome.
type Decision struct {
	Retry   bool
	Outcome Outcome
	Reason  string
}

// Budget bounds the retries of requests with an unknown outcome to 10 percent of
// the successes, with 10 in reserve. The zero value is full.
type Budget struct {
	// spent is how much is missing from a full budget, in tenths of a retry.
	spent atomic.Int64
}

// Decide returns what follows a failed try. A request with one unknown try stays
// unknown, whatever the later tries tell.
func (b *Budget) Decide(attempt Attempt) Decision {
	outcome := attempt.Outcome
	if attempt.UnknownOutcomes > 0 {
		outcome = Unknown
	}
	reason := b.denialReason(attempt, outcome)
	return Decision{Retry: reason == "", Outcome: outcome, Reason: reason}
}

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
		return "" // the second execution was allowed and has not happened yet
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
