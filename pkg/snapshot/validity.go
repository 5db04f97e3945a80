package snapshot

import (
	"sync/atomic"
	"time"
)

// processStart is the origin of the monotonic times of this process.
var processStart = time.Now()

// Validity holds the time until which a node may serve requests from its snapshots. The control
// goroutine extends it while platform calls succeed or messages from peers arrive. Each request
// checks it, because after a pause of the process a request can be served before the control
// goroutine runs again. A nil Validity never expires.
type Validity struct {
	until atomic.Int64 // nanoseconds since processStart
}

// Extend sets the expiry time.
func (v *Validity) Extend(until time.Time) {
	v.until.Store(until.Sub(processStart).Nanoseconds())
}

// Valid reports whether the validity has not expired.
func (v *Validity) Valid(now time.Time) bool {
	return v == nil || now.Sub(processStart).Nanoseconds() < v.until.Load()
}
