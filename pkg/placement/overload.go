package placement

import (
	"sync"
	"time"
)

const (
	// rejectionWeight is the weight of the latest request or attempt in the rejected shares.
	rejectionWeight = 0.05
	// Bounds of the delay after which rejected callers are asked to retry: short while
	// rejections are rare and a peak of a noisy neighbour is soon over, longer while most
	// requests are rejected and a retry would only be rejected again.
	minRetryAfter = 120 * time.Millisecond
	maxRetryAfter = 600 * time.Millisecond
	// minTargetRetryAfter is the shortest delay, for callers rejected by targets that
	// reported free capacity.
	minTargetRetryAfter = 20 * time.Millisecond
	// overloadThreshold is the rejected share above which hardly any target has free capacity.
	overloadThreshold = 0.1
	// retryAfterJitter is the share of the delay over which retries are spread.
	retryAfterJitter = 0.6
)

// OverloadDetector tracks the share of a service's requests that is rejected, as a moving
// average.
type OverloadDetector struct {
	mu            sync.Mutex
	rejectedShare float64
	// rejectedAttemptShare is the share of attempts that targets rejected although they had
	// reported free capacity.
	rejectedAttemptShare float64
}

// RecordRequest adds the outcome of one request.
func (d *OverloadDetector) RecordRequest(rejected bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rejectedShare = updateShare(d.rejectedShare, rejected)
}

// RecordAttempt adds the outcome of one attempt at a target.
func (d *OverloadDetector) RecordAttempt(rejected bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rejectedAttemptShare = updateShare(d.rejectedAttemptShare, rejected)
}

func updateShare(share float64, happened bool) float64 {
	share *= 1 - rejectionWeight
	if happened {
		share += rejectionWeight
	}
	return share
}

// IsOverloaded reports whether so many requests are rejected that hardly any target has free
// capacity.
func (d *OverloadDetector) IsOverloaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rejectedShare > overloadThreshold
}

// RetryAfter returns the delay after which a rejected caller should retry. fraction is a
// random number from 0 to 1.
func (d *OverloadDetector) RetryAfter(fraction float64) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return jitter(minRetryAfter+time.Duration(d.rejectedShare*float64(maxRetryAfter-minRetryAfter)), fraction)
}

// RetryAfterTargetRejection is RetryAfter for a caller whose request was rejected by targets
// that reported free capacity. Its retry is as likely to be served as any request, so the delay
// is short, and long only while targets reject nearly everything.
func (d *OverloadDetector) RetryAfterTargetRejection(fraction float64) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	share := d.rejectedAttemptShare * d.rejectedAttemptShare
	return jitter(minTargetRetryAfter+time.Duration(share*share*float64(maxRetryAfter-minTargetRetryAfter)), fraction)
}

// jitter returns a delay around the mean, so that callers do not retry at the same time.
func jitter(mean time.Duration, fraction float64) time.Duration {
	return mean + time.Duration((fraction-0.5)*retryAfterJitter*float64(mean))
}
