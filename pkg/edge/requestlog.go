package edge

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflychute/fireflychute/pkg/forward"
	"github.com/fireflychute/fireflychute/pkg/quota"
	"github.com/fireflychute/fireflychute/pkg/retry"
)

const (
	// maxLinesPerSecond limits the request log lines of each reason. A node serves some ten
	// requests a second, so under normal load every request is logged.
	maxLinesPerSecond = 40
)

// requestLog writes a log line for each request, with a rate limit, and counts the lines
// that the limit drops.
type requestLog struct {
	log zerolog.Logger

	mu      sync.Mutex
	second  int64
	written map[string]int
	dropped map[string]int
}

func newRequestLog(log zerolog.Logger) *requestLog {
	return &requestLog{log: log, written: map[string]int{}, dropped: map[string]int{}}
}

// admit reports whether a line may be written. At the first call in a second it also returns
// the number of dropped lines by reason since the last such report.
func (l *requestLog) admit(reason string, now time.Time) (ok bool, dropped map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.second {
		if len(l.dropped) > 0 {
			dropped = l.dropped
			l.dropped = map[string]int{}
		}
		l.second = second
		clear(l.written)
	}
	if l.written[reason] >= maxLinesPerSecond {
		l.dropped[reason]++
		return false, dropped
	}
	l.written[reason]++
	return true, dropped
}

// Probed implements forward.Observer.
func (l *requestLog) Probed(forward.Probe) {}

// SlowAttempt implements forward.Observer.
func (l *requestLog) SlowAttempt(*forward.Record, *forward.Attempt) {}

// AvailabilityChanged implements forward.Observer.
func (l *requestLog) AvailabilityChanged(target string, signal forward.Availability) {
	l.log.Info().Str("target", target).Bool("leaving", signal.Leaving).Dur("retryAfter", signal.RetryAfter).
		Msg("target is leaving or requested a backoff; sending it no requests until it restarts or retryAfter has passed")
}

// LimitChanged logs a change of a limit, which a target or a peer has reported.
func (l *requestLog) LimitChanged(change quota.Change) {
	if !change.Current.Limited && !change.Previous.Limited {
		return
	}
	l.log.Info().Str("target", change.Current.Target).Bool("limited", change.Current.Limited).Float64("limit", change.Current.Rate).
		Float64("previous", change.Previous.Rate).Uint64("version", change.Current.Version).Str("peer", change.Source).
		Msg("limit of target changed")
}

// malformedLimit is the reason under which ignored limits are counted by the rate limit.
const malformedLimit = "malformed limit"

// LimitIgnored implements forward.Observer.
func (l *requestLog) LimitIgnored(target string, said quota.Statement) {
	ok, _ := l.admit(malformedLimit, time.Now())
	if ok {
		l.log.Warn().Str("target", target).Str("text", said.Text).Msg("target names a limit that is not a decimal number; keeping what is known")
	}
}

// Ended implements forward.Observer.
func (l *requestLog) Ended(r *forward.Record) {
	now := time.Now()
	ok, dropped := l.admit(r.Reason, now)
	for reason, count := range dropped {
		l.log.Warn().Str("reason", reason).Int("dropped", count).Msg("request log lines dropped by the rate limit")
	}
	if !ok {
		return
	}
	line := l.log.Info()
	if r.Outcome != retry.Answered {
		line = l.log.Warn()
	}
	line.Str("request", r.ID).Str("route", r.Route).Str("service", r.Service).Uint64("configuration", r.Version).
		Int("status", r.Status).Str("outcome", string(r.Outcome)).Str("reason", r.Reason).
		Dur("took", now.Sub(r.Began)).Int64("bytes", r.Bytes).
		Array("tries", attemptArray(r.Attempts))
	if r.Outcome == retry.NotRun && len(r.ProbedLoads) > 0 {
		line.Array("considered", loadArray(r.ProbedLoads))
	}
	line.Msg("request")
}

// loadArray encodes the loads of targets for the log.
type loadArray []forward.Load

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (l loadArray) MarshalZerologArray(array *zerolog.Array) {
	for i := range l {
		array.Object((*loadObject)(&l[i]))
	}
}

type loadObject forward.Load

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (l *loadObject) MarshalZerologObject(e *zerolog.Event) {
	e.Str("target", l.Target).Int("running", l.Running).Int("waiting", l.Waiting).Int("slots", l.Slots).
		Float64("slowness", l.Slowdown).Bool("cold", l.Cold).Bool("healthy", l.Healthy)
}

// attemptArray encodes the attempts of a request for the log.
type attemptArray []forward.Attempt

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (a attemptArray) MarshalZerologArray(array *zerolog.Array) {
	for i := range a {
		array.Object((*attemptObject)(&a[i]))
	}
}

type attemptObject forward.Attempt

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (a *attemptObject) MarshalZerologObject(e *zerolog.Event) {
	(*loadObject)(&a.Load).MarshalZerologObject(e)
	e.Str("version", a.Version).Int("asked", a.Probed).Int("heard", a.Responded).
		Float64("cost", a.Cost).Dur("age", a.Age).Int("status", a.Status).Dur("latency", a.Latency)
	if a.Canary {
		e.Bool("canary", true)
	}
	if a.Hedge {
		e.Bool("hedge", true)
	}
	if a.Limited {
		e.Float64("limit", a.Limit).Bool("unprobed", a.Unprobed)
	}
	if a.Failure != "" {
		e.Str("failure", a.Failure).Bool("notRun", a.NotRun)
	}
}

// observers forwards each event to several observers.
type observers []forward.Observer

// Ended implements forward.Observer.
func (o observers) Ended(record *forward.Record) {
	for _, observer := range o {
		observer.Ended(record)
	}
}

// SlowAttempt implements forward.Observer.
func (o observers) SlowAttempt(record *forward.Record, attempt *forward.Attempt) {
	for _, observer := range o {
		observer.SlowAttempt(record, attempt)
	}
}

// Probed implements forward.Observer.
func (o observers) Probed(probe forward.Probe) {
	for _, observer := range o {
		observer.Probed(probe)
	}
}

// AvailabilityChanged implements forward.Observer.
func (o observers) AvailabilityChanged(target string, signal forward.Availability) {
	for _, observer := range o {
		observer.AvailabilityChanged(target, signal)
	}
}

// LimitIgnored implements forward.Observer.
func (o observers) LimitIgnored(target string, said quota.Statement) {
	for _, observer := range o {
		observer.LimitIgnored(target, said)
	}
}
