// Package warmup bounds what a cold target receives from the whole fleet. A cold
// target bears a few requests per second and crashes well above that, and no node
// knows what the others send, so each takes an equal part of the rate.
package warmup

import "time"

// Limiter spaces the requests of one node to one cold target. The zero value
// allows no request before Start.
type Limiter struct {
	started bool
	next    time.Time
}

// Interval returns the time between two requests of one node to a cold target that
// bears rate requests per second from fleet nodes.
func Interval(rate float64, fleet int) time.Duration {
	if rate <= 0 {
		return time.Hour
	}
	return time.Duration(float64(max(1, fleet)) / rate * float64(time.Second))
}

// Start begins the spacing at a random phase, a number from 0 to 1, so that nodes
// that see a cold target at the same time do not send to it at the same time.
func (l *Limiter) Start(now time.Time, interval time.Duration, phase float64) {
	if !l.started {
		l.started = true
		l.next = now.Add(time.Duration(phase * float64(interval)))
	}
}

// Stop ends the spacing when the target is warm.
func (l *Limiter) Stop() { l.started = false }

// Ready tells whether a request may be sent now.
func (l *Limiter) Ready(now time.Time) bool { return l.started && !now.Before(l.next) }

// Acquire uses the turn if there is one.
func (l *Limiter) Acquire(now time.Time, interval time.Duration) bool {
	if !l.Ready(now) {
		return false
	}
	l.next = now.Add(interval)
	return true
}
