package topology

import (
	"sync"
	"time"
)

const (
	// baseEjectionTime is how long a target is ejected after a failed load probe or connection.
	// Each further consecutive failure doubles the time up to maxEjectionTime.
	baseEjectionTime = 300 * time.Millisecond
	maxEjectionTime  = 4 * time.Second
	// failureWeight is the weight of the latest request in the failure rate, an exponentially
	// weighted moving average.
	failureWeight = 0.2
	// failureHalfLife is the time in which a failure rate halves without requests.
	failureHalfLife = 2 * time.Second
	// minWarmupLeft is the remaining warm-up below which a target counts as warm.
	minWarmupLeft = 50 * time.Millisecond
)

// Observed is the state of one incarnation of a target as this node has observed it. All topologies
// and requests share it; it is safe for concurrent use.
type Observed struct {
	mu                  sync.Mutex
	pending             int
	consecutiveFailures int
	ejectedUntil        time.Time
	leaving             bool
	// backOffUntil is the end of the time for which the target asked this node to send nothing.
	backOffUntil  time.Time
	coldUntil     time.Time
	failureRate   float64
	failureRateAt time.Time
}

// View is a consistent snapshot of an Observed.
type View struct {
	// Pending counts the requests in flight from this node.
	Pending int
	// Ejected is set after a failed load probe or connection until the ejection time is over.
	Ejected     bool
	Leaving     bool
	Cold        bool
	FailureRate float64
	// BackOff is the remaining time for which the target asked this node to send nothing.
	BackOff time.Duration
}

// View returns a snapshot as of now.
func (o *Observed) View(now time.Time) View {
	o.mu.Lock()
	defer o.mu.Unlock()
	return View{
		Pending: o.pending, Ejected: now.Before(o.ejectedUntil), Leaving: o.leaving,
		Cold: now.Before(o.coldUntil), FailureRate: o.decayedFailureRate(now), BackOff: max(0, o.backOffUntil.Sub(now)),
	}
}

// Begin counts a request that is about to be sent. End or Abandon must follow.
func (o *Observed) Begin() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pending++
}

// End counts the end of a request and records whether it failed.
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

// Abandon counts the end of a request without recording a result, as for a cancelled attempt.
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

// RecordUnreachable ejects the target after a load probe or a connection failed.
func (o *Observed) RecordUnreachable(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.consecutiveFailures = min(o.consecutiveFailures+1, 10)
	o.ejectedUntil = now.Add(min(baseEjectionTime<<(o.consecutiveFailures-1), maxEjectionTime))
}

// RecordReachable resets the number of consecutive failures, so that the next ejection is short
// again.
func (o *Observed) RecordReachable() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.consecutiveFailures = 0
}

// MarkLeaving stops the use of this incarnation of the target. It reports whether the target was
// in use before.
func (o *Observed) MarkLeaving() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	wasInUse := !o.leaving
	o.leaving = true
	return wasInUse
}

// BackOff stops requests and load probes to the target for a duration. An earlier back-off that
// ends later stays in force. It reports whether the target accepted any before.
func (o *Observed) BackOff(now time.Time, duration time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	wasInUse := !now.Before(o.backOffUntil)
	if until := now.Add(duration); until.After(o.backOffUntil) {
		o.backOffUntil = until
	}
	return wasInUse
}

// SetWarmup records the remaining warm-up time that the target reported; 0 means warm.
func (o *Observed) SetWarmup(now time.Time, left time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if left < minWarmupLeft {
		o.coldUntil = time.Time{}
		return
	}
	o.coldUntil = now.Add(left)
}

// Accepts reports whether a request may be sent now, as far as the target is not leaving and has not
// asked this node to send nothing.
func (o *Observed) Accepts(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.leaving && !now.Before(o.backOffUntil)
}
