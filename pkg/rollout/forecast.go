package rollout

import (
	"fmt"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
)

// minForecastFraction is the part of the total time after which a forecast is made. Earlier, a
// rollout that has just begun would be forecast late for lack of requests.
const minForecastFraction = 0.15

// forecast states whether the rollout is expected to miss completeBy, with the reason and
// message of its Late condition.
type forecast struct {
	late    bool
	reason  string
	message string
}

func onTime() forecast {
	return forecast{reason: ReasonOnTime, message: "the last step can be reached by completeBy"}
}

func late(reason, message string) forecast {
	return forecast{late: true, reason: reason, message: message}
}

// forecast extrapolates the rate of exposure observed so far over the remaining steps.
func (p plan) forecast(now time.Time, status api.RolloutStatus, exposure int) forecast {
	if now.After(p.completeBy) {
		return late(ReasonTimePassed, "completeBy has passed; the share stays until the evidence is there")
	}
	if p.total() < time.Duration(len(steps)-1)*StepHold {
		return late(ReasonTooLittleTime, "completeBy leaves less time than the steps need")
	}
	if now.Sub(p.started) < max(2*StepHold, time.Duration(minForecastFraction*float64(p.total()))) {
		return onTime()
	}
	if status.SharePercent <= p.initialShare() && !p.isRaiseOverdue(now, status) {
		return onTime()
	}
	rate := exposureRate(now, p.started, status, exposure)
	finish, reached := p.finish(now, status, exposure, rate)
	if !reached {
		return late(ReasonNoExposure, "the new version receives no requests that could be judged")
	}
	if finish.After(p.completeBy) {
		return late(ReasonExposureTooSlow, "the new version receives too few requests to be judged by completeBy")
	}
	return onTime()
}

// finish returns when the last step is expected to be reached. It returns false if some step
// needs exposure and the version receives none.
func (p plan) finish(now time.Time, status api.RolloutStatus, exposure int, rate float64) (time.Time, bool) {
	at := now
	lastChange := lastShareChange(status, p.started)
	collected := float64(exposure)
	share := status.SharePercent
	for s, ok := p.next(share); ok; s, ok = p.next(share) {
		missing := float64(p.requiredExposure(s)) - collected
		wait := time.Duration(0)
		if missing > 0 {
			if rate*share <= 0 {
				return at, false
			}
			wait = toDuration(missing / (rate * share))
		}
		due := latest(at.Add(wait), p.dueAt(s), lastChange.Add(StepHold))
		collected += rate * share * due.Sub(at).Seconds()
		at, lastChange, share = due, due, s.share
	}
	return at, true
}

// isRaiseOverdue reports whether the scheduled time of the next raise has passed. At the first
// share, a lack of exposure has little meaning until then: targets of the new version are cold
// at first, and requests that they serve cold are not judged.
func (p plan) isRaiseOverdue(now time.Time, status api.RolloutStatus) bool {
	next, ok := p.next(status.SharePercent)
	return ok && now.After(p.dueAt(next))
}

// exposureRate returns the exposure in requests per second and percent of share.
func exposureRate(now, started time.Time, status api.RolloutStatus, exposure int) float64 {
	sum := shareSeconds(now, started, status)
	if sum <= 0 {
		return 0
	}
	return float64(exposure) / sum
}

// shareSeconds returns the share in percent, integrated over the seconds since the start.
func shareSeconds(now, started time.Time, status api.RolloutStatus) float64 {
	sum, share, since := 0.0, steps[0].share, started
	for _, decision := range status.Decisions {
		var raised float64
		_, err := fmt.Sscanf(decision.Action, actionShare, &raised)
		if err != nil || decision.Time.Before(started) {
			continue
		}
		sum += share * decision.Time.Sub(since).Seconds()
		share, since = raised, decision.Time
	}
	return sum + share*now.Sub(since).Seconds()
}

func toDuration(s float64) time.Duration {
	const longest = 1e9 // keeps the product within the range of a duration
	return time.Duration(min(s, longest) * float64(time.Second))
}

func latest(times ...time.Time) time.Time {
	last := times[0]
	for _, t := range times[1:] {
		if t.After(last) {
			last = t
		}
	}
	return last
}
