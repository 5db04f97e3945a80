package rolloutbench

import (
	"sync"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/judge"
	"github.com/fireflychute/fireflychute/pkg/rollout"
)

// overtimeShare is the part of the whole time for which a rollout that is not done is followed after completeBy.
const overtimeShare = 0.25

// Result is what became of one rollout.
type Result struct {
	// Completed and RolledBack tell how it ended; neither means that it is still progressing.
	Completed, RolledBack bool
	// InTime tells that it was completed by its set time.
	InTime bool
	// ReportedLate tells that it was reported late at any time.
	ReportedLate bool
	// DetectionTime is the time from the first request that the fault hit to the rollback.
	DetectionTime time.Duration
	// ReceivedCalls is how many calls the new version got in that time.
	ReceivedCalls int
	// RollbackShare is the share in percent at which it was taken back.
	RollbackShare float64
	// FaultHit tells that the fault hit any request at all.
	FaultHit bool
	// Evidence is that of the rollback.
	Evidence []api.Evidence
}

// Run follows one rollout in model time.
func Run(d Deployment, kind RolloutType, seed uint64) Result {
	r := newRun(d, kind, seed)
	for range int(float64(r.model.periods) * (1 + overtimeShare)) {
		if r.step() {
			break
		}
	}
	return r.result
}

// run is one rollout under way.
type run struct {
	model            *model
	judge            *judge.Judge
	spec             api.RolloutSpec
	status           api.RolloutStatus
	now              time.Time
	faultHitAt       time.Time
	newRequestsAtHit int // when the fault first hit a request
	result           Result
}

func newRun(d Deployment, kind RolloutType, seed uint64) *run {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	routes := []string{}
	for _, route := range d.Routes {
		routes = append(routes, route.Name)
	}
	return &run{
		model: newModel(d, kind, seed), judge: judge.New(judge.Alpha, routes), now: start,
		spec: api.RolloutSpec{
			Service: d.Name, From: "v1", To: "v2", CompleteBy: start.Add(d.Total),
			MaxUnjudgedSharePercent: d.MaxUnjudgedSharePercent, State: api.RolloutStateActive,
		},
	}
}

// step follows one period and tells whether the rollout has ended. The status of
// the previous period is in force during this one.
func (r *run) step() bool {
	r.model.share = r.status.SharePercent / 100
	r.decide()
	before := r.model.newRequests
	observed := r.model.simulatePeriod()
	r.now = r.now.Add(time.Duration(periodSeconds * float64(time.Second)))
	if r.model.faultyRequests > 0 && !r.result.FaultHit {
		r.result.FaultHit, r.faultHitAt, r.newRequestsAtHit = true, r.now, before
	}
	for route, versions := range observed {
		r.judge.Observe(route, versions[0], versions[1])
	}
	return r.recordEnd()
}

func (r *run) decide() {
	bad, evidence := r.judge.Verdict()
	observed := rollout.Observed{Bad: bad, Evidence: evidence, Exposure: r.judge.Exposure(), Timed: r.judge.TimedExposure()}
	r.status, _ = rollout.Next(r.now, "bench", 1, r.spec, 1, r.status, observed)
	for _, c := range r.status.Conditions {
		if c.Type == rollout.ConditionLate && c.Status == api.ConditionStatusTrue {
			r.result.ReportedLate = true
		}
	}
}

// recordEnd fills in the result after the period in which the last decision was not yet in force.
func (r *run) recordEnd() bool {
	switch r.status.Phase {
	case api.PhaseCompleted:
		r.result.Completed = true
		r.result.InTime = !r.now.After(r.spec.CompleteBy)
		return true
	case api.PhaseRolledBack:
		r.result.RolledBack = true
		r.result.RollbackShare = r.model.share * 100
		r.result.Evidence = r.status.Decisions[len(r.status.Decisions)-1].Evidence
		if r.result.FaultHit {
			r.result.DetectionTime = r.now.Sub(r.faultHitAt)
			r.result.ReceivedCalls = r.model.newRequests - r.newRequestsAtHit
		}
		return true
	default:
		return false
	}
}

// RunMany follows rollouts with the seeds 1 to n, several at the same time.
func RunMany(d Deployment, kind RolloutType, n, workers int) []Result {
	results := make([]Result, n)
	seeds := make(chan int)
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for seed := range seeds {
				results[seed] = Run(d, kind, uint64(seed+1))
			}
		})
	}
	for seed := range n {
		seeds <- seed
	}
	close(seeds)
	group.Wait()
	return results
}
