package rollout

import (
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
)

// VerdictExposure is how many requests of the new version, without being found
// bad, are a verdict. A version that fails one request in 20 gives 15 failures
// in them, which is several times what the judge needs.
const VerdictExposure = 300

// StepHold is the shortest time at one share. Nodes report every 2 s, so each
// share has been seen in at least one report before the next raise.
const StepHold = 3 * time.Second

// step is one share and what must hold before it is given.
type step struct {
	share float64 // percent
	// exposure is the requests of the new version needed before.
	exposure int
	// remaining is the part of the whole time that is left from this step to completeBy.
	remaining float64
}

// steps leave more time to the small shares, at which exposure grows slowly, and
// the last 5% of the time in reserve.
var steps = []step{
	{share: 1, exposure: 0, remaining: 1},
	{share: 5, exposure: 20, remaining: 0.70},
	{share: 25, exposure: 100, remaining: 0.45},
	{share: 50, exposure: VerdictExposure, remaining: 0.25},
	{share: 100, exposure: 2 * VerdictExposure, remaining: 0.05},
}

// plan is the schedule of one rollout.
type plan struct {
	started          time.Time
	completeBy       time.Time
	maxUnjudgedShare float64 // percent, largest share without a verdict
}

func newPlan(spec api.RolloutSpec, started time.Time) plan {
	return plan{started: started, completeBy: spec.CompleteBy, maxUnjudgedShare: float64(spec.MaxUnjudgedSharePercent)}
}

// total is the time from the start to completeBy; it may be negative.
func (p plan) total() time.Duration {
	return p.completeBy.Sub(p.started)
}

// dueAt returns when a step is due by the schedule.
func (p plan) dueAt(s step) time.Time {
	return p.completeBy.Add(-time.Duration(s.remaining * float64(max(0, p.total()))))
}

// requiredExposure returns the exposure needed before a share may be given.
func (p plan) requiredExposure(s step) int {
	if s.share > p.maxUnjudgedShare {
		return max(s.exposure, VerdictExposure)
	}
	return s.exposure
}

// initialShare returns the share at which the rollout starts.
func (p plan) initialShare() float64 {
	return min(steps[0].share, p.maxUnjudgedShare)
}

// stepsAbove returns the steps above a share.
func stepsAbove(share float64) []step {
	for i, s := range steps {
		if s.share > share {
			return steps[i:]
		}
	}
	return nil
}

// unjudgedStep returns the share at which the version waits for its verdict, when
// the limit lies between two steps.
func (p plan) unjudgedStep(share float64) (step, bool) {
	next := stepsAbove(share)
	if len(next) == 0 || share >= p.maxUnjudgedShare || next[0].share <= p.maxUnjudgedShare {
		return step{}, false
	}
	limited := next[0]
	limited.share = p.maxUnjudgedShare
	return limited, true
}

// next returns the step after a share.
func (p plan) next(share float64) (step, bool) {
	if limited, ok := p.unjudgedStep(share); ok {
		return limited, true
	}
	above := stepsAbove(share)
	if len(above) == 0 {
		return step{}, false
	}
	return above[0], true
}
