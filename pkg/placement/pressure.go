package placement

import (
	"sync"
	"time"
)

const (
	// rejectionWeight is the weight of the latest request in the refused share.
	rejectionWeight = 0.05
	// Bounds of the time after which refused callers are asked to come back: short
	// while refusals are rare and a neighbour's peak is soon over, longer while most
	// requests are refused and callers would only be refused again.
	minRetryAfter = 120 * time.Millisecond
	maxRetryAfter = 600 * time.Millisecond
	// minTargetRetryAfter is the shortest time, for callers that were refused by bad luck.
	minTargetRetryAfter = 20 * time.Millisecond
	// overloadThreshold is the refused share from which on there is no room to be found elsewhere.
	overloadThreshold = 0.1
	// retryAfterJitter is the part of that time over which returns are spread.
	retryAfterJitter = 0.6
)

// OverloadDetector is the share of a service's requests that is refused at present.
type OverloadDetector struct {
	mu            sync.Mutex
	rejectedShare float64
	// rejectedAttemptShare is the share of the sends that targets refused although they had room.
	rejectedAttemptShare float64
}

// RecordRequest takes in one request.
func (p *OverloadDetector) RecordRequest(rejected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rejectedShare = updateShare(p.rejectedShare, rejected)
}

// RecordAttempt takes in one send to a target.
func (p *OverloadDetector) RecordAttempt(rejected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rejectedAttemptShare = updateShare(p.rejectedAttemptShare, rejected)
}

func updateShare(share float64, happened bool) float64 {
	share *= 1 - rejectionWeight
	if happened {
		share += rejectionWeight
	}
	return share
}

// IsOverloaded tells whether so many requests are refused that hardly any target has room.
func (p *OverloadDetector) IsOverloaded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rejectedShare > overloadThreshold
}

// RetryAfter tells a refused caller when to come back. draw is a random number from 0 to 1.
func (p *OverloadDetector) RetryAfter(fraction float64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return jitter(minRetryAfter+time.Duration(p.rejectedShare*float64(maxRetryAfter-minRetryAfter)), fraction)
}

// RetryAfterTargetRejection is Return for a caller whose request was refused by targets that had
// room. Its next attempt is as likely to be served as any, so it comes back at once, and
// later only while targets refuse nearly everything.
func (p *OverloadDetector) RetryAfterTargetRejection(fraction float64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	share := p.rejectedAttemptShare * p.rejectedAttemptShare
	return jitter(minTargetRetryAfter+time.Duration(share*share*float64(maxRetryAfter-minTargetRetryAfter)), fraction)
}

// jitter returns a time around the given one, so that callers do not return together.
func jitter(mean time.Duration, fraction float64) time.Duration {
	return mean + time.Duration((fraction-0.5)*retryAfterJitter*float64(mean))
}
