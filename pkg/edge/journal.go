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

// Probed implements forward.Observer.
func (j *requestLog) Probed(bool) {}

// SlowAttempt implements forward.Observer.
func (j *requestLog) SlowAttempt(*forward.Record, *forward.Attempt) {}

// AvailabilityChanged implements forward.Observer.
func (j *requestLog) AvailabilityChanged(target string, notice forward.Availability) {
	j.log.Info().Str("target", target).Bool("leaving", notice.Leaving).Dur("retryAfter", notice.RetryAfter).
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
		Array("tries", attemptArray(r.Attempts))
	if r.Outcome == retry.NotRun && len(r.ProbedLoads) > 0 {
		line.Array("considered", loadArray(r.ProbedLoads))
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
		Float64("slowness", l.Slowdown).Bool("cold", l.Cold).Bool("healthy", l.Healthy)
}

// attemptArray writes the tries of a request.
type attemptArray []forward.Attempt

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (t attemptArray) MarshalZerologArray(array *zerolog.Array) {
	for i := range t {
		array.Object((*attemptObject)(&t[i]))
	}
}

type attemptObject forward.Attempt

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (t *attemptObject) MarshalZerologObject(e *zerolog.Event) {
	(*loadObject)(&t.Load).MarshalZerologObject(e)
	e.Str("version", t.Version).Int("asked", t.Probed).Int("heard", t.Responded).
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

// SlowAttempt implements forward.Observer.
func (o observers) SlowAttempt(record *forward.Record, try *forward.Attempt) {
	for _, observer := range o {
		observer.SlowAttempt(record, try)
	}
}

// Probed implements forward.Observer.
func (o observers) Probed(failed bool) {
	for _, observer := range o {
		observer.Probed(failed)
	}
}

// AvailabilityChanged implements forward.Observer.
func (o observers) AvailabilityChanged(target string, notice forward.Availability) {
	for _, observer := range o {
		observer.AvailabilityChanged(target, notice)
	}
}
