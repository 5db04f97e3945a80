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
	// rateMemory is the time constant of the service rate.
	rateMemory = 2 * time.Second
)

// Reason says why a request was refused.
type Reason string

// Reasons for a refusal. None of the requests was sent.
const (
	ReasonFull      Reason = "queue full"
	ReasonOverShare Reason = "caller over its share"
	ReasonExpired   Reason = "deadline passed"
)

// Refusal states why and when to try again.
type Refusal struct {
	Reason Reason
	// RetryAfter is in whole seconds.
	RetryAfter time.Duration
}

// refusal derives the time from the queue and the recent service rate.
func (q *Queue) refusal(now time.Time, reason Reason) *Refusal {
	rate := q.rate.perSecond(now)
	after := maxRetryAfter
	if rate > 0 {
		seconds := math.Ceil(float64(q.waiting+1) / rate)
		after = time.Duration(min(seconds, maxRetryAfter.Seconds())) * time.Second
	}
	if !q.rate.started {
		after = minRetryAfter
	}
	return &Refusal{Reason: reason, RetryAfter: max(after, minRetryAfter)}
}

// meter is an exponentially decaying count of served requests.
type meter struct {
	started bool
	first   time.Time
	at      time.Time
	value   float64
}

func (m *meter) count(now time.Time) {
	if !m.started {
		m.started, m.first, m.at = true, now, now
	}
	m.value = m.decayed(now) + 1
	m.at = now
}

func (m *meter) decayed(now time.Time) float64 {
	return m.value * math.Exp(-now.Sub(m.at).Seconds()/rateMemory.Seconds())
}

// perSecond corrects for a meter that has run for less than its memory.
func (m *meter) perSecond(now time.Time) float64 {
	if !m.started {
		return 0
	}
	ran := max(now.Sub(m.first).Seconds(), 0.1)
	seen := rateMemory.Seconds() * (1 - math.Exp(-ran/rateMemory.Seconds()))
	return m.decayed(now) / seen
}
