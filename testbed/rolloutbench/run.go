package rolloutbench

import (
	"sync"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/judge"
	"github.com/fireflychute/fireflychute/pkg/rollout"
)

// overtimeShare is the time after completeBy for which an unfinished rollout is simulated, as a
// share of the rollout's time.
const overtimeShare = 0.25

// Result is the result of one simulated rollout.
type Result struct {
	// Completed and RolledBack report how it ended; if both are false it is still progressing.
	Completed, RolledBack bool
	// InTime reports that it was completed by completeBy.
	InTime bool
	// ReportedLate reports that rollout.ConditionLate was true at any time.
	ReportedLate bool
	// DetectionTime is the time from the first request affected by the fault to the rollback.
	DetectionTime time.Duration
	// ReceivedCalls is the number of calls sent to the new version in that time.
	ReceivedCalls int
	// RollbackShare is the new version's share, in percent, at the rollback.
	RollbackShare float64
	// FaultHit reports that the fault affected at least one request.
	FaultHit bool
	// Evidence is the evidence of the decision to roll back.
	Evidence []api.Evidence
}

// Run simulates one rollout.
func Run(d Deployment, kind RolloutType, seed uint64) Result {
	r := newRun(d, kind, seed)
	for range int(float64(r.model.periods) * (1 + overtimeShare)) {
		if r.step() {
			break
		}
	}
	return r.result
}

// run is the state of one simulated rollout.
type run struct {
	model            *model
	judge            *judge.Judge
	spec             api.RolloutSpec
	status           api.RolloutStatus
	now              time.Time
	faultHitAt       time.Time
	newRequestsAtHit int // model.newRequests before the period of the first affected request
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

// step simulates one period and reports whether the rollout has ended. The status decided in the
// previous period is in force during this one.
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

// recordEnd reports whether the rollout has ended, and completes the result if so. It is called
// after the simulation of the period in which the last decision was made but not yet in force, so
// that the result includes the requests of that period.
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

// RunMany simulates rollouts with the seeds 1 to n in a number of concurrent workers.
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
