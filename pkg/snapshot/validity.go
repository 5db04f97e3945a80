package snapshot

import (
	"sync/atomic"
	"time"
)

// processStart is the origin of local monotonic times.
var processStart = time.Now()

// Validity is until when a node may serve by what it knows. Control extends it
// while it hears the platform or peers. Traffic checks it for each request, because
// after a pause of the process a request may run before the control goroutine does.
// A nil Validity has no end.
type Validity struct {
	until atomic.Int64 // nanoseconds since started
}

// Extend sets the end.
func (v *Validity) Extend(until time.Time) {
	v.until.Store(until.Sub(processStart).Nanoseconds())
}

// Valid tells whether the end has not been reached.
func (v *Validity) Valid(now time.Time) bool {
	return v == nil || now.Sub(processStart).Nanoseconds() < v.until.Load()
}
