package canary

import "time"

const (
	// settleTime is how long the version has all requests before the old targets may stop.
	// Requests that were running on the old targets have ended by then.
	settleTime = 2600 * time.Millisecond
	// takeoverTime is how long a node must have been leader before it promotes a version or
	// reports it complete: until then it may not have received the counts of the other nodes.
	takeoverTime = 2 * time.Second
	// minBlockingNodes is how many nodes that block the version on their own counts make it bad at
	// once. A single one may see one faulty target; it only prevents the promotion.
	minBlockingNodes = 2
)

// SignificanceLevel is the p-value at or below which a version is rolled back instead of being
// promoted. It bounds the probability that a good version is rolled back at the promotion. A
// version that was promoted cannot be rolled back once its old targets have stopped, so less
// evidence is needed than for a verdict.
const SignificanceLevel = 0.02

// P-values at or below which a version is rolled back before its promotion is decided. They are read many
// times, so much more evidence is needed.
const (
	earlyFailureLevel = 1e-3
	// clearLatencyLevel also applies while the version has all requests. The old version is not measured at
	// the same time then, and an overload would slow it as well.
	clearLatencyLevel = 1e-4
)

// While a p-value is at or below suspicionLevel, a version is not reported complete until it has had all
// requests for trialTime, even if it is then late: more evidence arrives fast, and completion cannot be
// undone. The same holds for a version that is late already.
const (
	suspicionLevel = 0.2
	trialTime      = 4 * time.Second
)

// enoughRequests is how many requests a version must have got to be reported complete before the deadline
// requires it: until then, more requests are worth more than the time.
const enoughRequests = 150

// Progress describes the state of a rollout and what was measured since its order.
type Progress struct {
	Elapsed, Duration time.Duration
	// Share is the current share, ShareAge the time since it took effect.
	Share    float64
	ShareAge time.Duration
	// LeaderTime is how long the deciding node has been leader.
	LeaderTime time.Duration
	// Requests counts the service's requests since the order, Exposed those of them that went
	// to the new version.
	Requests, Exposed int
	// Rate is the service's current request rate, in requests per second, 0 while unknown.
	Rate float64
	// Bad reports whether the new version was found to be bad.
	Bad bool
	// BlockingNodes is the number of nodes that block the version on their own counts.
	BlockingNodes int
	// FailurePValue and LatencyPValue are the probabilities that at least as many of the failures
	// and slow responses come from the new version as observed so far, if that version is good.
	FailurePValue, LatencyPValue float64
	// OldTailLatency and OldP90Latency are the old version's 99th and 90th percentile latency, 0
	// while unknown.
	OldTailLatency, OldP90Latency time.Duration
	// HasTargets reports whether the new version has any targets.
	HasTargets bool
}

// Decision is the next step of a rollout.
type Decision struct {
	// Share is the new version's part of the service's requests, from 0 to 1.
	Share    float64
	Complete bool
	RollBack bool
	// LoadFactor is the load of a target of the new version relative to its load with all
	// requests; 0 spreads the share over all targets of the version.
	LoadFactor float64
	// Until is the time since the order after which the share no longer holds, 0 if it has no end.
	Until time.Duration
	// Late is set while the exposure bound leaves no time to complete the version before the
	// deadline. The bound is kept, and the version is promoted as soon as the bound allows it.
	Late bool
}

// Decide returns the next step of a rollout.
func Decide(p Progress, bounds ExposureBounds) Decision {
	switch {
	case p.Bad || p.BlockingNodes >= minBlockingNodes || p.LatencyPValue <= clearLatencyLevel:
		return Decision{RollBack: true}
	case p.Share >= 1:
		return decideFullShare(p)
	case !p.HasTargets:
		return Decision{Share: p.Share, RollBack: p.Elapsed >= p.Duration}
	case p.FailurePValue <= earlyFailureLevel:
		return Decision{RollBack: true}
	case p.mayPromote(bounds):
		return promote(p)
	default:
		return newSchedule(p, bounds).step(p, bounds)
	}
}

// decideFullShare decides whether a version that has all requests is complete or rolled back.
func decideFullShare(p Progress) Decision {
	if p.BlockingNodes > 0 || p.FailurePValue <= SignificanceLevel {
		return Decision{RollBack: true}
	}
	isSuspect := min(p.FailurePValue, p.LatencyPValue) <= suspicionLevel
	settled := false
	switch {
	case isSuspect || p.Elapsed >= p.Duration-statusDelay:
		settled = p.ShareAge >= trialTime
	case p.Elapsed >= p.Duration-reportMargin:
		settled = p.ShareAge >= p.minFullShareTime()
	default:
		settled = p.ShareAge >= settleTime && p.Exposed >= enoughRequests
	}
	return Decision{Share: 1, Complete: settled && p.LeaderTime >= takeoverTime}
}

// promote gives a version all requests, or rolls it back if a p-value is significant or a node
// blocks it. A new leader keeps the share until takeoverTime has passed.
func promote(p Progress) Decision {
	if p.LeaderTime < takeoverTime {
		return Decision{Share: p.Share}
	}
	suspect := p.BlockingNodes > 0 || min(p.FailurePValue, p.LatencyPValue) <= SignificanceLevel
	return Decision{Share: 1, RollBack: suspect}
}

// Targets returns over how many of a version's total targets the decision spreads its share;
// 0 stands for all.
func (d Decision) Targets(total int) int {
	if d.LoadFactor == 0 || total == 0 {
		return 0
	}
	return max(1, int(float64(total)*d.Share/d.LoadFactor))
}
