package quota

import "time"

// maxWait is the longest time after which an asker is told to come back: by then the limit is
// verified, so that a rate near zero does not hide its end.
const maxWait = 5 * time.Second

// Bucket admits units at a rate. It starts empty, since nobody knows what was sent before. It is not
// safe for concurrent use.
type Bucket struct {
	rate      float64 // units per second
	burst     float64 // units that are kept while nobody takes them
	units     float64
	updatedAt time.Time
	// waiting estimates how many refused askers will come back for the next units.
	waiting float64
}

// NewBucket returns an empty bucket with a rate per second that keeps up to burst units.
func NewBucket(rate, burst float64, now time.Time) *Bucket {
	return &Bucket{rate: rate, burst: burst, updatedAt: now}
}

// SetRate changes the rate and burst from now on.
func (b *Bucket) SetRate(rate, burst float64, now time.Time) {
	b.advance(now)
	b.rate, b.burst = rate, burst
	b.units = min(b.units, burst)
}

func (b *Bucket) advance(now time.Time) {
	added := b.rate * max(0, now.Sub(b.updatedAt)).Seconds()
	b.units = min(b.units+added, b.burst)
	b.waiting = max(0, b.waiting-added)
	b.updatedAt = now
}

// TryTake takes one unit if there is one.
func (b *Bucket) TryTake(now time.Time) bool {
	b.advance(now)
	if b.units < 1 {
		return false
	}
	b.units--
	return true
}

// Take takes one unit. If there is none, it returns the time until there will be one that no
// earlier asker was told to come back for.
func (b *Bucket) Take(now time.Time) (wait time.Duration, ok bool) {
	if b.TryTake(now) {
		return 0, true
	}
	missing := 1 - b.units + b.waiting
	if missing >= b.rate*maxWait.Seconds() {
		return maxWait, false
	}
	b.waiting++
	return time.Duration(missing / b.rate * float64(time.Second)), false
}
