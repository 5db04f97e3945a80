package canary

import "time"

// Stages of a rollout. In the canary stage, the version gets a small share for half of the
// rollout's time, long enough for faults that develop slowly. In the load stage, it gets a
// large share for a short time, which reveals faults under load, and then a small share until
// these faults have had time to be detected. After that it gets all requests.
//
// A service with few requests produces too little data in these stages to distinguish a
// version that seldom fails from a good one. For such a service, the canary stage is extended
// and the promotion deferred so close to the deadline that the version stays within its
// exposure bound even if no fault is detected before the deadline.
const (
	// canaryShare and maxCanaryShare are the smallest and largest share of the canary stage.
	// ExposureBounds may require a share below canaryShare.
	canaryShare    = 0.05
	maxCanaryShare = 0.25
	// canaryExposureFraction is the part of the allowed exposure that the canary stage uses.
	// At a low request rate, that is a larger share and so gives an earlier verdict.
	canaryExposureFraction = 0.2
	// minCanaryRequests is how many requests the canary stage needs to distinguish a bad version
	// from a good one. Where canaryExposureFraction gives fewer, the stage may use up to
	// maxCanaryExposureFraction.
	minCanaryRequests         = 35
	maxCanaryExposureFraction = 0.45
	// minChangeFactor is the factor by which a new share must differ from the current one to
	// replace it.
	minChangeFactor = 1.5
	// maxLoadStageShare is the largest share in the load stage. loadStageExposureFraction is the
	// part of the exposure left by the canary stage that the load stage may use.
	maxLoadStageShare         = 0.5
	loadStageExposureFraction = 0.6
	// loadStageFactor is the least load of a target in the load stage, as a multiple of its load
	// with all requests, as in a burst. Where the share is small, it is concentrated on a few
	// targets to reach this load.
	loadStageFactor = 2.0
	// canaryFraction and promotionFraction are the parts of the rollout's time after which the
	// canary stage ends and after which the version gets all requests at the earliest.
	canaryFraction    = 0.5
	promotionFraction = 0.64
	// loadStageTime is the duration of the load stage, including the time until all nodes have
	// received the step. observationTime is how long faults of the load stage may take to be
	// detected.
	loadStageTime   = 900 * time.Millisecond
	observationTime = 1200 * time.Millisecond
	// settleTime is how long the version has all requests before the old targets may stop.
	// Requests that were running on the old targets have ended by then.
	settleTime = 2600 * time.Millisecond
	// maxDeferredCanaryShare is the largest share in the canary stage of a deferred promotion.
	maxDeferredCanaryShare = 0.5
	// orderPropagationTime is how long the nodes take to receive the order.
	orderPropagationTime = time.Second
	// canaryFreezeTime is the time before the end of the canary stage in which its share is not
	// changed, because a change would delay the step that follows.
	canaryFreezeTime = time.Second
	// stepPropagationTime is how long all nodes take to receive a step.
	stepPropagationTime = 400 * time.Millisecond
	// takeoverTime is how long a node must have been leader before it promotes a version or
	// reports it complete: until then it may not have received the counts of the other nodes.
	takeoverTime = 2 * time.Second
	// deadlineMargin is the time before the deadline at which completion is reported.
	deadlineMargin = 700 * time.Millisecond
	// deferredDeadlineMargin is the same for a deferred promotion.
	deferredDeadlineMargin = 500 * time.Millisecond
	// usableExposureFraction is the part of the allowed exposure that is used.
	usableExposureFraction = 0.9
)

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
	// Rate is the service's current request rate, in requests per second.
	Rate float64
	// Bad reports whether the new version was found to be bad.
	Bad bool
	// FailurePValue and LatencyPValue are the probabilities that at least as many of the failures
	// and slow responses come from the new version as observed so far, if that version is good.
	FailurePValue, LatencyPValue float64
	// OldTailLatency is the old version's 99th percentile latency, 0 while unknown.
	OldTailLatency time.Duration
	// HasTargets reports whether the new version has any targets.
	HasTargets bool
}

// ExposureBounds limits how many requests a bad version may get: Share of the service's
// requests plus Slack.
type ExposureBounds struct {
	Share float64
	Slack float64
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
}

// SignificanceLevel is the p-value at or below which a version is rolled back instead of being
// promoted. It bounds the probability that a good version is rolled back at the end of the
// stages with part of the requests. A bad version with all requests would exceed its exposure
// bound within a second or two, so less evidence is needed than for a verdict.
const SignificanceLevel = 0.02

// Decide returns the next step of a rollout.
func Decide(p Progress, bounds ExposureBounds) Decision {
	switch {
	case p.Bad:
		return Decision{RollBack: true}
	case p.Share >= 1:
		return decideFullShare(p)
	case !p.HasTargets:
		return Decision{Share: p.Share, RollBack: p.Elapsed >= p.Duration}
	case p.canDeferPromotion(bounds):
		return decideDeferred(p, bounds)
	default:
		return decideStaged(p, bounds)
	}
}

// decideFullShare decides whether a version that has all requests is complete or rolled back.
func decideFullShare(p Progress) Decision {
	if p.FailurePValue <= SignificanceLevel {
		return Decision{RollBack: true}
	}
	atDeadline := p.Elapsed >= p.Duration-deadlineMargin && p.ShareAge >= p.minFullShareTime()
	return Decision{Share: 1, Complete: p.LeaderTime >= takeoverTime && (p.ShareAge >= settleTime || atDeadline)}
}

// decideStaged returns the step of a service with enough requests for the stages of a rollout.
func decideStaged(p Progress, bounds ExposureBounds) Decision {
	canaryEnd := scaleDuration(p.Duration, canaryFraction)
	loadEnd := canaryEnd + loadStageTime
	promotion := max(scaleDuration(p.Duration, promotionFraction), loadEnd+observationTime)
	switch {
	case p.Elapsed < canaryEnd:
		return Decision{Share: canaryStageShare(p, bounds, canaryStage{canaryEnd, canaryBudget(allowedExposure(p, bounds)), maxCanaryShare})}
	case p.Elapsed < loadEnd:
		return Decision{Share: max(p.Share, loadStageShare(p, bounds)), LoadFactor: loadStageFactor}
	case p.Elapsed < promotion:
		return Decision{Share: minShare(bounds)}
	default:
		return promote(p)
	}
}

// decideDeferred returns the step of a service with few requests, whose version is promoted
// shortly before the deadline.
func decideDeferred(p Progress, bounds ExposureBounds) Decision {
	canaryEnd := p.Duration - p.finalStageTime()
	if p.Elapsed >= canaryEnd {
		return promote(p)
	}
	decision := Decision{Share: canaryStageShare(p, bounds, canaryStage{canaryEnd, p.deferredCanaryBudget(bounds), maxDeferredCanaryShare})}
	if p.Elapsed >= canaryEnd/2 {
		decision.LoadFactor = loadStageFactor // concentrated on few targets, to test them under load
	}
	return decision
}

// promote gives a version all requests, or rolls it back if a p-value is significant. A new
// leader keeps the share until takeoverTime has passed.
func promote(p Progress) Decision {
	if p.LeaderTime < takeoverTime {
		return Decision{Share: p.Share}
	}
	return Decision{Share: 1, RollBack: min(p.FailurePValue, p.LatencyPValue) <= SignificanceLevel}
}

// minFullShareTime returns how long a version must have all requests before the old targets may
// stop at the deadline: the propagation of the step plus the old version's tail latency, at most
// half of settleTime, which also applies while the tail latency is unknown.
func (p *Progress) minFullShareTime() time.Duration {
	if p.OldTailLatency == 0 {
		return settleTime / 2
	}
	return min(stepPropagationTime+p.OldTailLatency, settleTime/2)
}

// finalStageTime returns how long before the deadline a deferred promotion takes place.
func (p *Progress) finalStageTime() time.Duration {
	return p.minFullShareTime() + deferredDeadlineMargin
}

// deferredCanaryBudget returns how many requests the canary stage of a deferred promotion may
// use: the allowed exposure less the requests between promotion and deadline.
func (p *Progress) deferredCanaryBudget(bounds ExposureBounds) float64 {
	return allowedExposure(*p, bounds) - p.meanRate()*p.finalStageTime().Seconds()
}

// meanRate returns the service's mean requests per second since all nodes received the order.
// It varies less than the current rate, so that a rollout does not switch between staged and
// deferred promotion.
func (p *Progress) meanRate() float64 {
	return float64(p.Requests) / max((p.Elapsed-orderPropagationTime).Seconds(), 1)
}

// canDeferPromotion reports whether the service has so few requests that the version stays
// within its exposure bound without a verdict, while at least maxCanaryExposureFraction of the
// allowed exposure is left for the canary stage.
func (p *Progress) canDeferPromotion(bounds ExposureBounds) bool {
	return p.Requests > 0 && p.OldTailLatency > 0 && p.deferredCanaryBudget(bounds) >= maxCanaryExposureFraction*allowedExposure(*p, bounds)
}

// Targets returns over how many of a version's total targets the decision spreads its share;
// 0 stands for all.
func (d Decision) Targets(total int) int {
	if d.LoadFactor == 0 || total == 0 {
		return 0
	}
	return max(1, int(float64(total)*d.Share/d.LoadFactor))
}

// allowedExposure returns how many requests the version may get over the whole rollout, less
// a reserve.
func allowedExposure(p Progress, bounds ExposureBounds) float64 {
	total := float64(p.Requests) + p.Rate*(p.Duration-p.Elapsed).Seconds()
	return usableExposureFraction * (bounds.Share*total + bounds.Slack)
}

// canaryStage holds the limits of a canary stage.
type canaryStage struct {
	// end is the time since the order at which the stage ends.
	end time.Duration
	// budget is how many requests the stage may use.
	budget   float64
	maxShare float64
}

// canaryStageShare returns the share in a canary stage. It is lowered when the request rate
// turns out higher than the share was computed for.
func canaryStageShare(p Progress, bounds ExposureBounds, stage canaryStage) float64 {
	share := minShare(bounds)
	if p.Rate > 0 {
		planned := stage.budget / (p.Rate * stage.end.Seconds())
		remaining := (stage.budget - float64(p.Exposed)) / (p.Rate * (stage.end - p.Elapsed).Seconds())
		share = max(share, min(stage.maxShare, planned, remaining))
	}
	unchanged := share < minChangeFactor*p.Share && share > p.Share/minChangeFactor
	if unchanged || p.Share > 0 && stage.end-p.Elapsed < canaryFreezeTime {
		return p.Share
	}
	return share
}

// canaryBudget returns how many requests of the allowed exposure the canary stage may use.
func canaryBudget(allowed float64) float64 {
	return max(canaryExposureFraction*allowed, min(minCanaryRequests, maxCanaryExposureFraction*allowed))
}

// minShare returns the share of a version without any measurements, which is also the lower
// bound of the share computed for a canary stage.
func minShare(bounds ExposureBounds) float64 { return min(canaryShare, bounds.Share/2) }

// loadStageShare returns the share in the load stage. It leaves part of the remaining exposure
// for a fault that occurs only with all requests.
func loadStageShare(p Progress, bounds ExposureBounds) float64 {
	budget := loadStageExposureFraction * (allowedExposure(p, bounds) - float64(p.Exposed))
	requests := p.Rate * loadStageTime.Seconds()
	if budget <= 0 || requests <= 0 {
		return minShare(bounds)
	}
	return min(maxLoadStageShare, budget/requests)
}

func scaleDuration(duration time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(duration) * fraction)
}

// Limits on a version's failures at one node, at which the node stops sending to it without
// waiting for the leader.
const (
	minLocalFailures    = 3
	minLocalFailureRate = 0.3
	maxLocalOldRate     = 0.1
)

// maxFleetFailures is how many failures summed over all nodes are enough to find a version bad
// at once; with a single node, minLocalFailures are enough. Nodes that blocked the version on
// their local counts send it no more requests, so the sequential test gets no further evidence.
const maxFleetFailures = 2 * minLocalFailures

// IsBadFleetwide reports whether the summed counts of all nodes show that a version is bad,
// without waiting for the sequential test.
func IsBadFleetwide(oldCounts, canary Counts, nodes int) bool {
	threshold := min(maxFleetFailures, minLocalFailures*max(1, nodes))
	return canary.Failures >= uint64(threshold) && IsBadLocally(oldCounts, canary)
}

// IsBadLocally reports whether a node's own counts are enough to stop sending to the new
// version. It needs neither the leader nor the store.
func IsBadLocally(oldCounts, canary Counts) bool {
	if canary.Failures < minLocalFailures {
		return false
	}
	rate := float64(canary.Failures) / float64(canary.Requests)
	oldRate := float64(oldCounts.Failures) / float64(max(1, oldCounts.Requests))
	return rate >= minLocalFailureRate && oldRate < maxLocalOldRate
}
