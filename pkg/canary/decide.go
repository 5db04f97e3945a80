package canary

import "time"

// Stages of a rollout. Under trial, the version gets a small share until half of the time
// has passed: long enough for a fault that shows late. Then it gets a large share for a
// moment, which shows faults under load, and a small one until those are known. Then it
// gets all.
//
// A service with few requests shows too little in these stages to tell a version that
// seldom fails. There the version stays under trial and gets all requests only so late that
// it keeps within its exposure even if nothing shows until the deadline.
const (
	canaryShare    = 0.05
	maxCanaryShare = 0.25
	// canaryExposureFraction is the part of the allowed exposure that the trial uses; where there
	// are few requests, that is a larger share and so an earlier verdict.
	canaryExposureFraction = 0.2
	// minCanaryRequests is how many requests the trial needs to tell a bad version from a good
	// one. Where trialExposure gives fewer, the trial may use up to maxTrialExposure.
	minCanaryRequests         = 35
	maxCanaryExposureFraction = 0.45
	// minChangeFactor is how much larger or smaller a share has to be to replace the one in
	// force.
	minChangeFactor = 1.5
	// maxLoadStageShare is the largest share in the stage under load, loadExposure the part of the
	// exposure left by the trial that the stage may use.
	maxLoadStageShare         = 0.5
	loadStageExposureFraction = 0.6
	// loadStageFactor is the least load of a target in the stage under load, as in a burst. Where
	// the share is small, only a few targets take it.
	loadStageFactor = 2.0
	// canaryFraction and promotePart are the parts of the rollout's time at which the trial ends
	// and the version gets all requests at the earliest.
	canaryFraction    = 0.5
	promotionFraction = 0.64
	// loadStageTime is the duration of the stage under load, which includes the time until all
	// nodes know of it; observeTime is how long its faults may take to show.
	loadStageTime   = 900 * time.Millisecond
	observationTime = 1200 * time.Millisecond
	// settleTime is how long the version has all requests before the old targets may
	// stop: requests that are running there have ended by then.
	settleTime = 2600 * time.Millisecond
	// maxDeferredCanaryShare is the largest share in the trial of a version that moves late.
	maxDeferredCanaryShare = 0.5
	// orderPropagationTime is how long the nodes take to hear of the order.
	orderPropagationTime = time.Second
	// canaryFreezeTime is for how long before its end the trial's share stays: a change then would
	// hold up the step that follows.
	canaryFreezeTime = time.Second
	// stepPropagationTime is how long all nodes take to hear of a step.
	stepPropagationTime = 400 * time.Millisecond
	// takeoverTime is how long a node leads before it gives a version all requests or
	// reports it complete: until then it may not have heard what the others saw.
	takeoverTime = 2 * time.Second
	// deadlineMargin is the time before the deadline at which the move is reported.
	deadlineMargin = 700 * time.Millisecond
	// deferredDeadlineMargin is the same for a version that gets all requests late.
	deferredDeadlineMargin = 500 * time.Millisecond
	// usableExposureFraction is the part of the allowed exposure that is used.
	usableExposureFraction = 0.9
)

// Progress is what is known of a rollout.
type Progress struct {
	Elapsed, Duration time.Duration
	// Share is the share in force, Held how long it has been.
	Share    float64
	ShareAge time.Duration
	// LeaderTime is how long the deciding node has led the rollout.
	LeaderTime time.Duration
	// Requests and Exposed are the service's requests since the order and those that
	// went to the new version.
	Requests, Exposed int
	// Rate is the service's requests per second.
	Rate float64
	// Bad tells that the new version was found to be bad.
	Bad bool
	// FailurePValue and Slow are how likely a good version shows failures and slow answers such
	// as those seen so far.
	FailurePValue, LatencyPValue float64
	// OldTailLatency is how long nearly all requests to the old version take, 0 while unknown.
	OldTailLatency time.Duration
	// HasTargets tells that there are targets of the new version.
	HasTargets bool
}

// ExposureBounds are the exposure that a bad version may get.
type ExposureBounds struct {
	Share float64
	Slack float64
}

// Decision is what follows.
type Decision struct {
	Share    float64
	Complete bool
	RollBack bool
	// LoadFactor is how much a target of the new version gets of what it would get with all
	// requests; 0 spreads the share over all its targets.
	LoadFactor float64
}

// SignificanceLevel is how likely a good version may be suspected at the end of the
// stages with a part of the requests. With all requests a bad one would pass its bound of
// exposure within a second or two, so a doubt is enough to roll it back.
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

// decideFullShare decides on a version that has all requests.
func decideFullShare(p Progress) Decision {
	if p.FailurePValue <= SignificanceLevel {
		return Decision{RollBack: true}
	}
	atDeadline := p.Elapsed >= p.Duration-deadlineMargin && p.ShareAge >= p.minFullShareTime()
	return Decision{Share: 1, Complete: p.LeaderTime >= takeoverTime && (p.ShareAge >= settleTime || atDeadline)}
}

// decideStaged decides on a version of a service with many requests.
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

// decideDeferred decides on a version of a service with few requests.
func decideDeferred(p Progress, bounds ExposureBounds) Decision {
	canaryEnd := p.Duration - p.finalStageTime()
	if p.Elapsed >= canaryEnd {
		return promote(p)
	}
	decision := Decision{Share: canaryStageShare(p, bounds, canaryStage{canaryEnd, p.deferredCanaryBudget(bounds), maxDeferredCanaryShare})}
	if p.Elapsed >= canaryEnd/2 {
		decision.LoadFactor = loadStageFactor // on few targets, so that these bear a load meanwhile
	}
	return decision
}

// promote gives a version all requests unless it is suspect.
func promote(p Progress) Decision {
	if p.LeaderTime < takeoverTime {
		return Decision{Share: p.Share}
	}
	return Decision{Share: 1, RollBack: min(p.FailurePValue, p.LatencyPValue) <= SignificanceLevel}
}

// minFullShareTime is how long a version has all requests at the least before the old targets may
// stop.
func (p *Progress) minFullShareTime() time.Duration {
	if p.OldTailLatency == 0 {
		return settleTime / 2
	}
	return min(stepPropagationTime+p.OldTailLatency, settleTime/2)
}

// finalStageTime is how long before the deadline a version that moves late gets all requests.
func (p *Progress) finalStageTime() time.Duration {
	return p.minFullShareTime() + deferredDeadlineMargin
}

// deferredCanaryBudget is how many requests the trial of a version that moves late may use.
func (p *Progress) deferredCanaryBudget(bounds ExposureBounds) float64 {
	return allowedExposure(*p, bounds) - p.meanRate()*p.finalStageTime().Seconds()
}

// meanRate is the service's requests per second since all nodes heard of the order. It
// changes less than the present rate, so that a rollout keeps to the way in which it began.
func (p *Progress) meanRate() float64 {
	return float64(p.Requests) / max((p.Elapsed-orderPropagationTime).Seconds(), 1)
}

// canDeferPromotion tells whether the service has so few requests that the version keeps within
// its exposure without a verdict, and most of it is left for the trial.
func (p *Progress) canDeferPromotion(bounds ExposureBounds) bool {
	return p.Requests > 0 && p.OldTailLatency > 0 && p.deferredCanaryBudget(bounds) >= maxCanaryExposureFraction*allowedExposure(*p, bounds)
}

// Targets returns over how many of a version's targets a decision spreads its share; 0
// stands for all.
func (d Decision) Targets(total int) int {
	if d.LoadFactor == 0 || total == 0 {
		return 0
	}
	return max(1, int(float64(total)*d.Share/d.LoadFactor))
}

// allowedExposure is how many requests the version may get in all, with a reserve.
func allowedExposure(p Progress, bounds ExposureBounds) float64 {
	total := float64(p.Requests) + p.Rate*(p.Duration-p.Elapsed).Seconds()
	return usableExposureFraction * (bounds.Share*total + bounds.Slack)
}

// canaryStage is a trial: when it ends, how many requests it may use, and its largest share.
type canaryStage struct {
	end      time.Duration
	budget   float64
	maxShare float64
}

// canaryStageShare returns the share in a trial. It is lowered when there turn out to be more
// requests than it was made for.
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

// canaryBudget is how many requests the trial may use of the allowed exposure.
func canaryBudget(allowed float64) float64 {
	return max(canaryExposureFraction*allowed, min(minCanaryRequests, maxCanaryExposureFraction*allowed))
}

// minShare is the share of a version of which nothing is known yet.
func minShare(bounds ExposureBounds) float64 { return min(canaryShare, bounds.Share/2) }

// loadStageShare returns the share in the stage under load: what is left of the exposure
// is also needed for a fault that shows only with all requests.
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

// Local limits on a version's failures at one node, at which the node stops sending
// to it without waiting for the leader.
const (
	minLocalFailures    = 3
	minLocalFailureRate = 0.3
	maxLocalBaseRate    = 0.1
)

// maxFleetFailures is how many failures over all nodes condemn a version at once, where
// there are nodes enough. Nodes that stopped on their own evidence send no more
// requests from which the test over time could gather any.
const maxFleetFailures = 2 * minLocalFailures

// IsBadFleetwide tells whether the counts of all nodes together condemn a version
// without waiting for the test over time.
func IsBadFleetwide(base, canary Counts, nodes int) bool {
	threshold := min(maxFleetFailures, minLocalFailures*max(1, nodes))
	return canary.Failures >= uint64(threshold) && IsBadLocally(base, canary)
}

// IsBadLocally tells whether a node's own counts are enough to stop sending to the new
// version. It holds when the leader or the store cannot be reached.
func IsBadLocally(base, canary Counts) bool {
	if canary.Failures < minLocalFailures {
		return false
	}
	rate := float64(canary.Failures) / float64(canary.Requests)
	baseRate := float64(base.Failures) / float64(max(1, base.Requests))
	return rate >= minLocalFailureRate && baseRate < maxLocalBaseRate
}
