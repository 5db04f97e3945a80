package topology

import (
	"sync"
	"time"

	"github.com/fireflychute/fireflychute/pkg/warmup"
)

const (
	// baseEjectionTime is how long a target is left alone after a failed question; each
	// further failure doubles it up to maxHold.
	baseEjectionTime = 300 * time.Millisecond
	maxEjectionTime  = 4 * time.Second
	// failureWeight is the weight of the latest request in the failure rate.
	failureWeight = 0.2
	// failureHalfLife is the time in which a failure rate fades by half without requests.
	failureHalfLife = 2 * time.Second
	// minWarmupLeft is the remaining warm-up below which a target counts as warm.
	minWarmupLeft = 50 * time.Millisecond
)

// Observed is what this node has seen of one start of a target. It is shared by
// all topologies and by all requests.
type Observed struct {
	mu                  sync.Mutex
	pending             int
	consecutiveFailures int
	ejectedUntil        time.Time
	leaving             bool
	// backOffUntil is until when the target wants nothing from this node.
	backOffUntil  time.Time
	coldUntil     time.Time
	limiter       warmup.Limiter
	failureRate   float64
	failureRateAt time.Time
}

// View is a consistent copy of what was observed.
type View struct {
	Pending     int
	Ejected     bool
	Leaving     bool
	Cold        bool
	FailureRate float64
	// BackOff is for how much longer the target wants nothing from this node.
	BackOff time.Duration
}

// View returns what is known now.
func (o *Observed) View(now time.Time) View {
	o.mu.Lock()
	defer o.mu.Unlock()
	return View{
		Pending: o.pending, Ejected: now.Before(o.ejectedUntil), Leaving: o.leaving,
		Cold: now.Before(o.coldUntil), FailureRate: o.decayedFailureRate(now), BackOff: max(0, o.backOffUntil.Sub(now)),
	}
}

// Begin counts a request that is about to be sent; End must follow.
func (o *Observed) Begin() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pending++
}

// End counts the end of a request.
func (o *Observed) End(now time.Time, failed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pending--
	rate := o.decayedFailureRate(now) * (1 - failureWeight)
	if failed {
		rate += failureWeight
	}
	o.failureRate, o.failureRateAt = rate, now
}

// Abandon counts the end of a request that says nothing about the target.
func (o *Observed) Abandon() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pending--
}

func (o *Observed) decayedFailureRate(now time.Time) float64 {
	halves := now.Sub(o.failureRateAt) / failureHalfLife
	if halves > 10 {
		return 0
	}
	rate := o.failureRate
	for range halves {
		rate /= 2
	}
	return rate
}

// RecordUnreachable holds the target back after a question or a connection failed.
func (o *Observed) RecordUnreachable(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.consecutiveFailures = min(o.consecutiveFailures+1, 10)
	o.ejectedUntil = now.Add(min(baseEjectionTime<<(o.consecutiveFailures-1), maxEjectionTime))
}

// RecordReachable ends the hold.
func (o *Observed) RecordReachable() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.consecutiveFailures = 0
}

// MarkLeaving takes the target out until its next start. It returns whether it was in use before.
func (o *Observed) MarkLeaving() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	wasInUse := !o.leaving
	o.leaving = true
	return wasInUse
}

// BackOff keeps requests and questions away from the target for a time. It returns whether
// the target took any before.
func (o *Observed) BackOff(now time.Time, duration time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	wasInUse := !now.Before(o.backOffUntil)
	if until := now.Add(duration); until.After(o.backOffUntil) {
		o.backOffUntil = until
	}
	return wasInUse
}

// SetWarmup notes for how long the target says that it stays cold; 0 means warm.
func (o *Observed) SetWarmup(now time.Time, left, interval time.Duration, phase float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if left < minWarmupLeft {
		o.coldUntil = time.Time{}
		o.limiter.Stop()
		return
	}
	o.coldUntil = now.Add(left)
	o.limiter.Start(now, interval, phase)
}

// CanAcquire tells whether a request may be sent now as far as the warm-up allows.
func (o *Observed) CanAcquire(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !now.Before(o.coldUntil) || o.limiter.Ready(now)
}

// Acquire tells whether a request may be sent now. It uses a turn of the warm-up; a warm
// target always has one.
func (o *Observed) Acquire(now time.Time, interval time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.leaving || now.Before(o.backOffUntil) {
		return false
	}
	return !now.Before(o.coldUntil) || o.limiter.Acquire(now, interval)
}
