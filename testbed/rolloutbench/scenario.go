package rolloutbench

import "time"

// Deployment describes one user's service at its present size.
type Deployment struct {
	Name string
	// Targets is the number of targets of each of the two versions.
	Targets int
	// Rate is the mean number of requests per second.
	Rate float64
	// ServiceTime is the mean service time of a warm target without noise.
	ServiceTime time.Duration
	// Routes are the routes with their shares of the requests.
	Routes []RouteShare
	// Total is the time from the start of the rollout to completeBy.
	Total time.Duration
	// MaxUnjudgedSharePercent is the declared limit of the new version's share before there is a
	// verdict.
	MaxUnjudgedSharePercent int
}

// RouteShare is a route and its share of the requests.
type RouteShare struct {
	Name  string
	Share float64
}

// Deployments are the services of both users that are rolled out. Their load occupies 30% to 45% of
// the old version's slots.
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

// Fault is the kind of fault of a version.
type Fault int

// Faults of versions.
const (
	None Fault = iota
	Failing
	Slow
)

// Onset is the condition under which a fault occurs.
type Onset int

// Onsets of faults.
const (
	AtOnce Onset = iota
	// Late faults occur after the version was good for most of its rollout.
	Late
	// UnderLoad faults occur only with several requests in flight at the target.
	UnderLoad
	// OneRoute faults occur only on the last route, which has the smallest share.
	OneRoute
)

// RolloutType is a combination of fault and onset to simulate.
type RolloutType struct {
	Name  string
	Fault Fault
	Onset Onset
}

// RolloutTypes are the simulated types in the order of the table.
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
