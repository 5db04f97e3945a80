package edge

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflychute/fireflychute/pkg/forward"
	"github.com/fireflychute/fireflychute/pkg/retry"
)

const (
	// maxLinesPerSecond bounds the lines about requests for each reason. A node serves
	// some ten requests a second, so in calm times every request has its line.
	maxLinesPerSecond = 40
)

// requestLog writes a line for each request and counts the lines that it leaves out.
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

// admit tells whether a line may be written, and what was left out in the last second.
func (j *requestLog) admit(reason string, now time.Time) (ok bool, dropped map[string]int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if second := now.Unix(); second != j.second {
		if len(j.dropped) > 0 {
			dropped = j.dropped
			j.dropped = map[string]int{}
		}
		j.second = second
		clear(j.written)
	}
	if j.written[reason] >= maxLinesPerSecond {
		j.dropped[reason]++
		return false, dropped
	}
	j.written[reason]++
	return true, dropped
}

// Asked implements forward.Observer.
func (j *requestLog) Asked(bool) {}

// Late implements forward.Observer.
func (j *requestLog) Late(*forward.Record, *forward.Try) {}

// Noticed implements forward.Observer.
func (j *requestLog) Noticed(target string, signal forward.Notice) {
	j.log.Info().Str("target", target).Bool("leaving", signal.Leaving).Dur("retryAfter", signal.RetryAfter).
		Msg("target wants no further request")
}

// Ended implements forward.Observer.
func (j *requestLog) Ended(r *forward.Record) {
	now := time.Now()
	ok, dropped := j.admit(r.Reason, now)
	for reason, count := range dropped {
		j.log.Warn().Str("reason", reason).Int("dropped", count).Msg("lines about requests left out")
	}
	if !ok {
		return
	}
	line := j.log.Info()
	if r.Outcome != retry.Answered {
		line = j.log.Warn()
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

// loadArray writes the loads of targets.
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

// attemptArray writes the tries of a request.
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

// observers passes what became of requests to several observers.
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
