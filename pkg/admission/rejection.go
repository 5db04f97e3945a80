package admission

import (
	"math"
	"time"
)

// Limits of the time after which a rejected caller is asked to retry. The Retry-After header has
// whole seconds.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// rateTimeConstant is the time constant of the moving average of the service rate.
	rateTimeConstant = 2 * time.Second
)

// Reason is the reason why a request was rejected.
type Reason string

// Reasons for a rejection. In all cases the request was not sent to a target.
const (
	ReasonFull      Reason = "queue full"
	ReasonOverShare Reason = "caller over its share"
	ReasonExpired   Reason = "deadline passed"
)

// Rejection holds the reason for a rejection and when to retry.
type Rejection struct {
	Reason Reason
	// RetryAfter is a whole number of seconds.
	RetryAfter time.Duration
}

// rejection derives RetryAfter from the queue length and the recent service rate.
func (q *Queue) rejection(now time.Time, reason Reason) *Rejection {
	rate := q.rate.perSecond(now)
	after := maxRetryAfter
	if rate > 0 {
		seconds := math.Ceil(float64(q.waiting+1) / rate)
		after = time.Duration(min(seconds, maxRetryAfter.Seconds())) * time.Second
	}
	if !q.rate.started {
		after = minRetryAfter
	}
	return &Rejection{Reason: reason, RetryAfter: max(after, minRetryAfter)}
}

// rateMeter is an exponentially decaying count of served requests.
type rateMeter struct {
	started   bool
	startedAt time.Time
	updatedAt time.Time
	value     float64
}

func (m *rateMeter) count(now time.Time) {
	if !m.started {
		m.started, m.startedAt, m.updatedAt = true, now, now
	}
	m.value = m.decayed(now) + 1
	m.updatedAt = now
}

func (m *rateMeter) decayed(now time.Time) float64 {
	return m.value * math.Exp(-now.Sub(m.updatedAt).Seconds()/rateTimeConstant.Seconds())
}

// perSecond returns the service rate. It corrects for a meter that has run for less than a few time
// constants.
func (m *rateMeter) perSecond(now time.Time) float64 {
	if !m.started {
		return 0
	}
	elapsed := max(now.Sub(m.startedAt).Seconds(), 0.1)
	effectiveWindow := rateTimeConstant.Seconds() * (1 - math.Exp(-elapsed/rateTimeConstant.Seconds()))
	return m.decayed(now) / effectiveWindow
}
