package admission

import (
	"math"
	"time"
)

// Limits of the time after which a refused caller is told to try again. The
// header has whole seconds.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// rateTimeConstant is the time constant of the service rate.
	rateTimeConstant = 2 * time.Second
)

// Reason says why a request was refused.
type Reason string

// Reasons for a refusal. None of the requests was sent.
const (
	ReasonFull      Reason = "queue full"
	ReasonOverShare Reason = "caller over its share"
	ReasonExpired   Reason = "deadline passed"
)

// Rejection states why and when to try again.
type Rejection struct {
	Reason Reason
	// RetryAfter is in whole seconds.
	RetryAfter time.Duration
}

// rejection derives the time from the queue and the recent service rate.
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

// perSecond corrects for a meter that has run for less than its memory.
func (m *rateMeter) perSecond(now time.Time) float64 {
	if !m.started {
		return 0
	}
	elapsed := max(now.Sub(m.startedAt).Seconds(), 0.1)
	effectiveWindow := rateTimeConstant.Seconds() * (1 - math.Exp(-elapsed/rateTimeConstant.Seconds()))
	return m.decayed(now) / effectiveWindow
}
