package forward

import (
	"time"

	"github.com/fireflychute/fireflychute/pkg/quota"
	"github.com/fireflychute/fireflychute/pkg/retry"
)

// Reasons of responses that the node generates, and failures of attempts.
const (
	ReasonStopping        = "node is stopping"
	ReasonNoConfiguration = "node has no configuration yet"
	ReasonNoID            = "request has no id"
	ReasonNoRoute         = "no route"
	ReasonTooLarge        = "body is larger than the limit"
	ReasonBodyTimeout     = "body did not arrive in time"
	ReasonBodyBroken      = "body broke off"
	ReasonNoTarget        = "no target"
	ReasonNoRoom          = "no target has room"
	ReasonNoProbeResult   = "no target answers load questions"
	ReasonTimeout         = "timeout passed"
	ReasonAttempts        = "attempts used up"
	ReasonBudget          = "retry budget used up"
	ReasonCallerLeft      = "caller left"
	ReasonBroken          = "target broke off"
	ReasonTargetRefused   = "target refused"
	ReasonWrongResponse   = "target answered with something else"
	ReasonSuperseded      = "another target answered first"
	ReasonBackingOff      = "targets want no request yet"
	ReasonLimited         = "limits of all targets are used up"
)

// Record describes how one request was handled and why.
type Record struct {
	ID    string
	Began time.Time
	// Version is the version of the configuration that was used, Route the matching route.
	Version uint64
	Route   string
	Service string
	Status  int
	// Outcome is whether the request ran, as far as the node can tell.
	Outcome  retry.Outcome
	Reason   string
	Attempts []Attempt
	// Bytes is the size of the response body.
	Bytes int64
	// ProbedLoads are the loads reported by the probed targets of a rejected request, none of
	// which could serve it.
	ProbedLoads []Load
}

// Load is the load that a target reported.
type Load struct {
	Target                  string
	Running, Waiting, Slots int
	// Slowdown is the latency relative to an ordinary idle target, which has 1.
	Slowdown float64
	Cold     bool
	Healthy  bool
}

// Attempt describes one attempt of a request at a target.
type Attempt struct {
	Target  string
	Version string
	// Canary is set if the version is being rolled out; Order identifies the rollout.
	Canary bool
	Order  uint64
	// Load is the load on which the target was selected.
	Load Load
	// Probed and Responded count the targets that were probed and those that responded.
	Probed, Responded int
	// Cost is the estimate for this load; Age is how old the load report was.
	Cost   float64
	Age    time.Duration
	Status int
	// Latency is the time until the response, or until the attempt was cancelled.
	Latency time.Duration
	// Superseded is set if another target responded first, so that Latency is less than this
	// target would have needed.
	Superseded bool
	// Slow is set if the attempt took much longer than usual and was reported to
	// Observer.SlowAttempt.
	Slow bool
	// Unprobed is set if the target is limited, so that its load was not asked first.
	Unprobed bool
	// Hedge is set if the attempt began while another one of the request was running.
	Hedge bool
	// Limited is set if the node knew of a limit of the target when it sent the request, and Limit
	// is that limit in requests per second.
	Limited bool
	Limit   float64
	// Failed is set if the target failed to serve the request.
	Failed bool
	// NotRun is set if the request certainly did not run at the target.
	NotRun  bool
	Failure string
}

// Observer receives the events of requests. Its methods must not block.
type Observer interface {
	// Ended is called when a request has ended.
	Ended(record *Record)
	// SlowAttempt is called for an attempt that takes much longer than usual and still runs, at
	// most once per attempt and only if the service has a rollout. The attempt's Latency is the
	// time so far.
	SlowAttempt(record *Record, attempt *Attempt)
	// Probed is called for each load probe.
	Probed(probe Probe)
	// AvailabilityChanged is called when a target starts to leave or asks this node to back off.
	AvailabilityChanged(target string, availability Availability)
	// LimitIgnored is called for each response that names something that is not a limit.
	LimitIgnored(target string, said quota.Statement)
}

// Probe describes a load probe that has ended.
type Probe struct {
	Failed bool
	// Limited is set if the node knew of a limit of the target when it sent the probe.
	Limited bool
}
