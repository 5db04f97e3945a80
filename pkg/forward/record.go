package forward

import (
	"time"

	"github.com/fireflychute/fireflychute/pkg/retry"
)

// Reasons of the node's own answers.
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
	ReasonNotAnswering    = "no target answers load questions"
	ReasonTimeout         = "timeout passed"
	ReasonAttempts        = "attempts used up"
	ReasonBudget          = "retry budget used up"
	ReasonCallerLeft      = "caller left"
	ReasonBroken          = "target broke off"
	ReasonTargetRefused   = "target refused"
	ReasonWrongAnswer     = "target answered with something else"
	ReasonSuperseded      = "another target answered first"
	ReasonBackingOff      = "targets want no request yet"
)

// Record is what was decided on one request and why.
type Record struct {
	ID    string
	Began time.Time
	// Version is the configuration that decided, Route its route.
	Version uint64
	Route   string
	Service string
	Status  int
	// Outcome tells what is known of the run of a request.
	Outcome  retry.Outcome
	Reason   string
	Attempts []Attempt
	// Bytes is the size of the answer's body.
	Bytes int64
	// ProbedLoads are the targets that were heard before a refusal, none of which could
	// take the request.
	ProbedLoads []Load
}

// Load is what a target told of itself.
type Load struct {
	Target                  string
	Running, Waiting, Slots int
	// Slowdown is how long work takes there, 1 as usual.
	Slowdown float64
	Cold     bool
	Healthy  bool
}

// Attempt is one send of a request.
type Attempt struct {
	Target  string
	Version string
	// Canary tells that the version is being rolled out, Order which rollout it is.
	Canary bool
	Order  uint64
	// Load is the load on which the target was chosen.
	Load Load
	// Probed and Heard count the targets that were asked for their load and that answered.
	Probed, Responded int
	// Cost is the estimate made of it; Age is how old the load was.
	Cost   float64
	Age    time.Duration
	Status int
	// Latency is the time until the answer, or until the send was given up.
	Latency time.Duration
	// Superseded tells that another target answered first, so that Latency is less than
	// this one would have needed.
	Superseded bool
	// Slow tells that the send took much longer than usual, of which Observer.Late was told.
	Slow bool
	// Failed tells that the target did not answer well.
	Failed bool
	// NotRun tells that the request certainly did not run there.
	NotRun  bool
	Failure string
}

// Observer is told what became of requests. Its methods must not block.
type Observer interface {
	// Ended is called when a request has ended.
	Ended(record *Record)
	// SlowAttempt is called once for a send of a service with a rollout that takes much longer than
	// usual and still runs. The
	// try's Latency is the time so far.
	SlowAttempt(record *Record, try *Attempt)
	// Probed is called for each load question.
	Probed(failed bool)
	// AvailabilityChanged is called when a target's notice ends or suspends its use by this node.
	AvailabilityChanged(target string, notice Availability)
}
