package canary

import (
	"math"
	"time"
)

// The exposure bound limits how many requests all nodes together may send to the new version until
// the deadline. It holds without any evidence against the version: the requests that remain
// until the deadline at full share are part of what a promotion spends, so a version is promoted
// only when they fit into what the canary stage has left. The canary stage gets what the shortest
// promotion that completes in time does not need.
//
// Shortly before the end of the canary stage, in the load stage, most of its requests go to a few
// targets within a second, which reveals faults under load. Nodes end that share by themselves if the
// leader does not.
//
// Where a rollout is so short, or a service has so many requests, that no promotion fits before
// the deadline, the bound is kept and the version completes late.
const (
	// usableExposureFraction is the part of the allowed exposure that is used. The rest covers
	// a request rate that rises after the promotion.
	usableExposureFraction = 0.9
	// canaryExposureFraction is the largest part of the allowed exposure that the canary stage uses;
	// the rest promotes the version earlier, which leaves time for a change of the leader.
	canaryExposureFraction = 0.45
	// minCanaryRequests is how many requests the canary stage needs to distinguish a bad version
	// from a good one. Where the bound leaves fewer, the promotion is shortened, as long as
	// the canary stage gets leastCanaryRequests.
	minCanaryRequests   = 35
	leastCanaryRequests = 12
	// initialShare is the share while the request rate is unknown. ExposureBounds may require a
	// smaller one.
	initialShare = 0.05
	// maxCanaryShare is the largest share of the canary stage.
	maxCanaryShare = 0.5
	// loadFactor is the load of a target in the load stage, as a multiple of its load with all
	// requests, as in a burst.
	loadFactor = 2.0
	// loadStageTime is the duration of the load stage, and loadStageFraction the part of the canary
	// budget that is kept for it. observationTime is how long faults of the load stage may take to
	// be detected. loadStageSlack is how much longer its share holds if no step ends it.
	loadStageTime     = time.Second
	loadStageFraction = 0.6
	observationTime   = 1200 * time.Millisecond
	loadStageSlack    = 500 * time.Millisecond
	// promotionFraction is the part of the rollout's time before which no version is promoted,
	// so that faults that develop slowly can show, and maxPromotionTime the longest time before
	// the deadline.
	promotionFraction = 0.64
	maxPromotionTime  = 4 * time.Second
	// countDeviations is by how many standard deviations the number of requests until the deadline may
	// exceed the expected one. It matters where the requests are few.
	countDeviations = 1.5
	// minChangeFactor is the factor by which a new share must differ from the current one to
	// replace it.
	minChangeFactor = 1.3
	// rateKnownAfter is the time after the order from which on the request rate is known: the
	// nodes have received the order and have counted for a second.
	rateKnownAfter = 2 * time.Second
	// orderPropagationTime is how long the nodes take to receive the order.
	orderPropagationTime = time.Second
	// minShareAge is how long a share of the canary stage is kept, unless its budget is used up.
	minShareAge = 1500 * time.Millisecond
	// stepPropagationTime is how long all nodes take to receive a step.
	stepPropagationTime = 200 * time.Millisecond
	// maxDrainTime is the longest time for which requests that run on the old targets are waited
	// for. It also applies while their latency is unknown.
	maxDrainTime = 900 * time.Millisecond
	// statusDelay is how long operators take to see a status. reportMargin is the time before the
	// deadline at which completion is reported, so that they see it in time.
	statusDelay  = 500 * time.Millisecond
	reportMargin = statusDelay + 200*time.Millisecond
	// leaderSlack is how much earlier than necessary a version is promoted if the bound allows it, minSlack
	// the same where the bound leaves little.
	leaderSlack = 300 * time.Millisecond
	minSlack    = 200 * time.Millisecond
	// countDelay is how long it takes until a request that was sent is in the leader's counts.
	countDelay = 700 * time.Millisecond
)

// ExposureBounds limits how many requests a bad version may get: Share of the service's
// requests plus Slack.
type ExposureBounds struct {
	Share float64
	Slack float64
}

// allowedExposure returns how many requests the version may get over the whole rollout, less
// a reserve.
func allowedExposure(p Progress, bounds ExposureBounds) float64 {
	total := float64(p.Requests) + p.currentRate()*max(0, p.Duration-p.Elapsed).Seconds()
	return usableExposureFraction * (bounds.Share*total + bounds.Slack)
}

// schedule is the plan of a canary stage.
type schedule struct {
	// canaryEnd is the time since the order at which the version is to be promoted.
	canaryEnd time.Duration
	// canaryBudget is how many requests the version may get until then.
	canaryBudget float64
	// late is set if the version cannot be completed before the deadline.
	late bool
}

// newSchedule plans the canary stage for the current request rate.
func newSchedule(p Progress, bounds ExposureBounds) schedule {
	allowed := allowedExposure(p, bounds)
	rate := p.planningRate()
	most := max(canaryExposureFraction*allowed, min(minCanaryRequests, allowed))
	preferred := p.promotionTime(p.OldTailLatency) + leaderSlack
	budget := allowed - upperCount(rate*preferred.Seconds())
	if budget >= minCanaryRequests {
		return schedule{canaryEnd: p.Duration - preferred, canaryBudget: min(budget, most)}
	}
	shortest := p.promotionTime(p.OldP90Latency) + minSlack
	budget = allowed - upperCount(rate*shortest.Seconds())
	if budget >= leastCanaryRequests {
		return schedule{canaryEnd: p.Duration - shortest, canaryBudget: min(budget, minCanaryRequests)}
	}
	return schedule{canaryEnd: p.Duration, canaryBudget: min(most, minCanaryRequests), late: true}
}

// loadStart returns when the load stage begins.
func (s schedule) loadStart() time.Duration {
	return max(s.canaryEnd-observationTime-loadStageTime, rateKnownAfter)
}

// step returns the step of the canary stage.
func (s schedule) step(p Progress, bounds ExposureBounds) Decision {
	loadEnd := s.loadStart() + loadStageTime
	switch {
	case p.Elapsed < rateKnownAfter || p.Requests == 0:
		return Decision{Share: max(p.Share, min(initialShare, bounds.Share/2)), Late: s.late}
	case p.Elapsed < s.loadStart():
		return Decision{Share: p.spread((1-loadStageFraction)*s.canaryBudget, s.loadStart()), Late: s.late}
	case p.Elapsed < loadEnd:
		return Decision{Share: s.loadStageShare(p), LoadFactor: loadFactor, Until: loadEnd + loadStageSlack, Late: s.late}
	default:
		return Decision{Share: min(initialShare, p.spread(s.canaryBudget, max(s.canaryEnd, loadEnd))), Late: s.late}
	}
}

// loadStageShare returns the share in the load stage, which is not changed until its end.
func (s schedule) loadStageShare(p Progress) float64 {
	if p.ShareAge < p.Elapsed-s.loadStart() {
		return p.Share
	}
	return max(0, min(maxCanaryShare, (s.canaryBudget-p.spent())/(p.planningRate()*loadStageTime.Seconds())))
}

// spread returns the share that uses a budget evenly until a time since the order. It is lowered when the
// request rate turns out higher than the share was computed for, and zero once the budget is used.
func (p *Progress) spread(budget float64, end time.Duration) float64 {
	remaining := (budget - p.spent()) / (p.planningRate() * max(end-p.Elapsed, stepPropagationTime).Seconds())
	share := max(0, min(maxCanaryShare, remaining))
	unchanged := share < minChangeFactor*p.Share && share > p.Share/minChangeFactor
	if share > 0 && p.Share > 0 && (unchanged || p.ShareAge < minShareAge) {
		return p.Share
	}
	return share
}

// mayPromote reports whether the version may get all requests: either the requests until the
// deadline fit into what the bound leaves, or the deadline has passed.
func (p *Progress) mayPromote(bounds ExposureBounds) bool {
	if p.Elapsed >= p.Duration {
		return true
	}
	earliest := max(scaleDuration(p.Duration, promotionFraction), p.Duration-maxPromotionTime)
	if p.Elapsed < earliest || p.Requests == 0 {
		return false
	}
	remaining := p.planningRate() * (p.Duration - p.Elapsed).Seconds()
	return p.spent()+upperCount(remaining) <= allowedExposure(*p, bounds)
}

// upperCount returns a bound for a number of requests of which as many as expected come on average.
func upperCount(expected float64) float64 { return expected + countDeviations*math.Sqrt(expected) }

// spent returns how many requests the version has got, including those that are not counted yet.
func (p *Progress) spent() float64 {
	uncounted := min(p.ShareAge, countDelay).Seconds()
	return float64(p.Exposed) + p.planningRate()*p.Share*uncounted
}

// meanRate returns the mean request rate since all nodes received the order.
func (p *Progress) meanRate() float64 {
	return float64(p.Requests) / max((p.Elapsed-orderPropagationTime).Seconds(), 1)
}

// currentRate returns the current request rate, or the mean one while the current one is unknown.
func (p *Progress) currentRate() float64 {
	if p.Rate == 0 {
		return p.meanRate()
	}
	return p.Rate
}

// planningRate returns the higher of the current and the mean request rate. The mean varies less, so
// that a brief lull does not promote a version early.
func (p *Progress) planningRate() float64 { return max(p.Rate, p.meanRate()) }

// promotionTime returns how long before the deadline a version must be promoted so that it is
// reported complete in time after requests of the given latency have ended on the old targets.
func (p *Progress) promotionTime(latency time.Duration) time.Duration {
	return stepPropagationTime + drainTime(latency) + reportMargin
}

// minFullShareTime returns how long a version must have all requests before the old targets may
// stop at the deadline.
func (p *Progress) minFullShareTime() time.Duration {
	return stepPropagationTime + drainTime(p.OldP90Latency)
}

// drainTime returns how long requests of a latency are waited for on the old targets.
func drainTime(latency time.Duration) time.Duration {
	if latency == 0 {
		return maxDrainTime
	}
	return min(latency, maxDrainTime)
}

func scaleDuration(duration time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(duration) * fraction)
}
