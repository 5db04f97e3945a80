package edge

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflychute/fireflychute/pkg/forward"
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

// Asked implements forward.Observer.
func (l *requestLog) Asked(bool) {}

// Late implements forward.Observer.
func (l *requestLog) Late(*forward.Record, *forward.Try) {}

// Noticed implements forward.Observer.
func (l *requestLog) Noticed(target string, signal forward.Notice) {
	l.log.Info().Str("target", target).Bool("leaving", signal.Leaving).Dur("retryAfter", signal.RetryAfter).
		Msg("target asked for no further requests")
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
		Array("tries", attemptArray(r.Tries))
	if r.Outcome == retry.NotRun && len(r.Considered) > 0 {
		line.Array("considered", loadArray(r.Considered))
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
		Float64("slowness", l.Slowness).Bool("cold", l.Cold).Bool("healthy", l.Healthy)
}

// attemptArray encodes the attempts of a request for the log.
type attemptArray []forward.Try

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (t attemptArray) MarshalZerologArray(array *zerolog.Array) {
	for i := range t {
		array.Object((*attemptObject)(&t[i]))
	}
}

type attemptObject forward.Try

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (t *attemptObject) MarshalZerologObject(e *zerolog.Event) {
	(*loadObject)(&t.Load).MarshalZerologObject(e)
	e.Str("version", t.Version).Int("asked", t.Asked).Int("heard", t.Heard).
		Float64("cost", t.Cost).Dur("age", t.Age).Int("status", t.Status).Dur("latency", t.Latency)
	if t.Canary {
		e.Bool("canary", true)
	}
	if t.Failure != "" {
		e.Str("failure", t.Failure).Bool("notRun", t.NotRun)
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

// Late implements forward.Observer.
func (o observers) Late(record *forward.Record, attempt *forward.Try) {
	for _, observer := range o {
		observer.Late(record, attempt)
	}
}

// Asked implements forward.Observer.
func (o observers) Asked(failed bool) {
	for _, observer := range o {
		observer.Asked(failed)
	}
}

// Noticed implements forward.Observer.
func (o observers) Noticed(target string, signal forward.Notice) {
	for _, observer := range o {
		observer.Noticed(target, signal)
	}
}
