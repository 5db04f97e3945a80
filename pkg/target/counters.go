package target

import "sync/atomic"

// Counters is the state of one target that traffic goroutines update. One value
// lives as long as the target is known and is shared by all snapshots.
type Counters struct {
	// InFlight is the number of this node's requests at the target.
	InFlight atomic.Int64
	// Sent counts the requests that were sent to the target.
	Sent atomic.Uint64
	// Succeeded counts the requests that the target served well.
	Succeeded atomic.Uint64
	// Failed counts the requests that the target failed.
	Failed atomic.Uint64
	// Leaving stops new work as soon as any evidence of leaving is seen.
	Leaving atomic.Bool
	// LatencyMicros is a moving average of the response time in microseconds.
	LatencyMicros atomic.Int64
	// LastReport is the newest load report that a response carried.
	LastReport atomic.Pointer[Report]
}

// Report is a load report with the local time at which it arrived.
type Report struct {
	InFlight    int
	Queued      int
	Served      uint64
	Incarnation string
	Version     string
	Draining    bool
	// ArrivedNanos is the local monotonic time of arrival in nanoseconds.
	ArrivedNanos int64
	// SentBefore is Counters.Sent when the report arrived.
	SentBefore uint64
}
