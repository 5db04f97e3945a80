package canary

import "time"

// Stages of a rollout. Under trial, the version gets a small share until half of
// the time has passed: long enough for a fault that shows late. Then it gets as much
// as the exposure bound allows for a moment, which shows faults under load, then all.
const (
	trialShare    = 0.05
	maxTrialShare = 0.25
	// trialExposure is the part of the allowed exposure that the trial may use; where
	// there are few requests, it allows a larger share and so an earlier verdict.
	trialExposure = 0.2
	// raiseFactor is how much larger a share has to be to replace the one in force.
	raiseFactor = 1.5
	// loadShare is the share in the stage under load.
	loadShare = 0.5
	// trialPart and loadPart are the parts of the rollout's time at which the trial
	// and the stage under load end.
	trialPart = 0.5
	loadPart  = 0.64
	// minLoadTime is the least duration of the stage under load.
	minLoadTime = 1500 * time.Millisecond
	// settleTime is how long the version has all requests before the old targets may
	// stop: requests that are running there have ended by then.
	settleTime = 2600 * time.Millisecond
	// deadlineMargin is the time before the deadline at which the move is reported.
	deadlineMargin = 700 * time.Millisecond
	// exposurePart is the part of the allowed exposure that is used.
	exposurePart = 0.9
	// reactionTime is the time in which a bad version goes on receiving requests
	// after its badness shows.
	reactionTime = 1500 * time.Millisecond
)

// Progress is what is known of a rollout.
type Progress struct {
	Elapsed, Duration time.Duration
	// Share is the share in force, Held how long it has been.
	Share float64
	Held  time.Duration
	// Requests and Exposed are the service's requests since the order and those that
	// went to the new version.
	Requests, Exposed int
	// Rate is the service's requests per second.
	Rate float64
	// Bad tells that the new version was found to be bad.
	Bad bool
	// Present tells that there are targets of the new version.
	Present bool
}

// Bounds are the exposure that a bad version may get.
type Bounds struct {
	Share float64
	Slack float64
}

// Decision is what follows.
type Decision struct {
	Share    float64
	Complete bool
	RollBack bool
}

// Decide returns the next step of a rollout.
func Decide(p Progress, bounds Bounds) Decision {
	loadEnd := max(scale(p.Duration, loadPart), scale(p.Duration, trialPart)+minLoadTime)
	switch {
	case p.Bad:
		return Decision{RollBack: true}
	case p.Share >= 1:
		last := p.Elapsed >= p.Duration-deadlineMargin && p.Held >= settleTime/2
		return Decision{Share: 1, Complete: p.Held >= settleTime || last}
	case !p.Present:
		return Decision{Share: p.Share, RollBack: p.Elapsed >= p.Duration}
	case p.Elapsed < scale(p.Duration, trialPart):
		return Decision{Share: trialStageShare(p, bounds)}
	case p.Elapsed < loadEnd:
		return Decision{Share: max(p.Share, loadStageShare(p, bounds, loadEnd))}
	default:
		return Decision{Share: 1}
	}
}

// allowedExposure is how many requests the version may get in all, with a reserve.
func allowedExposure(p Progress, bounds Bounds) float64 {
	total := float64(p.Requests) + p.Rate*(p.Duration-p.Elapsed).Seconds()
	return exposurePart * (bounds.Share*total + bounds.Slack)
}

// trialStageShare returns the share in the trial.
func trialStageShare(p Progress, bounds Bounds) float64 {
	share := min(trialShare, bounds.Share/2)
	if p.Rate > 0 {
		stage := p.Rate * scale(p.Duration, trialPart).Seconds()
		share = max(share, min(maxTrialShare, trialExposure*allowedExposure(p, bounds)/stage))
	}
	if share < raiseFactor*p.Share {
		return p.Share
	}
	return share
}

// loadStageShare returns the share in the stage under load: as much as leaves room
// for the requests that arrive until a fault is seen afterwards.
func loadStageShare(p Progress, bounds Bounds, loadEnd time.Duration) float64 {
	left := allowedExposure(p, bounds) - float64(p.Exposed) - p.Rate*reactionTime.Seconds()
	stage := p.Rate * (loadEnd - p.Elapsed).Seconds()
	if left <= 0 || stage <= 0 {
		return min(trialShare, bounds.Share/2)
	}
	return min(loadShare, left/stage)
}

func scale(duration time.Duration, part float64) time.Duration {
	return time.Duration(float64(duration) * part)
}

// Local limits on a version's failures at one node, at which the node stops sending
// to it without waiting for the leader.
const (
	localFailures    = 3
	localFailureRate = 0.3
	localBaseRate    = 0.1
)

// fleetFailures is how many failures over all nodes condemn a version at once, where
// there are nodes enough. Nodes that stopped on their own evidence send no more
// requests from which the test over time could gather any.
const fleetFailures = 2 * localFailures

// BadEverywhere tells whether the counts of all nodes together condemn a version
// without waiting for the test over time.
func BadEverywhere(base, canary Counts, fleet int) bool {
	needed := min(fleetFailures, localFailures*max(1, fleet))
	return canary.Failures >= uint64(needed) && BadHere(base, canary)
}

// BadHere tells whether a node's own counts are enough to stop sending to the new
// version. It holds when the leader or the store cannot be reached.
func BadHere(base, canary Counts) bool {
	if canary.Failures < localFailures {
		return false
	}
	rate := float64(canary.Failures) / float64(canary.Requests)
	baseRate := float64(base.Failures) / float64(max(1, base.Requests))
	return rate >= localFailureRate && baseRate < localBaseRate
}
