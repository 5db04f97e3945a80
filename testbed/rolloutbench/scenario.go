package rolloutbench

import "time"

// Deployment is one user's service at its present size.
type Deployment struct {
	Name string
	// Targets is the number of targets of each of the two versions.
	Targets int
	// Rate is the mean number of requests per second.
	Rate float64
	// ServiceTime is the mean time of a warm request.
	ServiceTime time.Duration
	// Routes has the part of the requests on each route.
	Routes []RouteShare
	// Total is the time from the start to completeBy.
	Total time.Duration
	// MaxUnjudgedSharePercent is the largest share without a verdict.
	MaxUnjudgedSharePercent int
}

// RouteShare is a route's part of the requests.
type RouteShare struct {
	Name  string
	Share float64
}

// Deployments are both users' services that are rolled out. The targets of both
// together run at 30% to 45% of the old version's slots.
var Deployments = []Deployment{
	{
		Name: "Vestfjord label text", Targets: 20, Rate: 1000, ServiceTime: 50 * time.Millisecond, Total: 20 * time.Minute,
		Routes: []RouteShare{{"labels", 0.7}, {"ingredients", 0.3}}, MaxUnjudgedSharePercent: 10,
	},
	{
		Name: "Marsa donor ledger", Targets: 8, Rate: 150, ServiceTime: 100 * time.Millisecond, Total: 40 * time.Minute,
		Routes: []RouteShare{{"payments", 0.6}, {"statements", 0.4}}, MaxUnjudgedSharePercent: 5,
	},
}

// Fault is what is wrong with a version.
type Fault int

// Faults of versions.
const (
	None Fault = iota
	Failing
	Slow
)

// Onset is when or where a fault shows.
type Onset int

// Onsets of faults.
const (
	AtOnce Onset = iota
	// Late is after the version was good for most of its rollout.
	Late
	// UnderLoad is only with several requests in flight at the target.
	UnderLoad
	// OneRoute is only on the route with the smaller part.
	OneRoute
)

// RolloutType is a kind of rollout.
type RolloutType struct {
	Name  string
	Fault Fault
	Onset Onset
}

// RolloutTypes are the kinds of rollouts in the order of the table.
var RolloutTypes = []RolloutType{
	{"good", None, AtOnce},
	{"failing at once", Failing, AtOnce},
	{"failing late", Failing, Late},
	{"failing under load", Failing, UnderLoad},
	{"failing on one route", Failing, OneRoute},
	{"slow at once", Slow, AtOnce},
	{"slow late", Slow, Late},
	{"slow under load", Slow, UnderLoad},
	{"slow on one route", Slow, OneRoute},
}
