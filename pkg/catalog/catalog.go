// Package catalog holds the project's own types for what a node reads from the platform: the
// configuration, the targets, the operators' rollout orders and the nodes of the fleet. They are
// independent of the platform's wire format.
package catalog

import "time"

// Configuration holds the routes, services and limits in force.
type Configuration struct {
	// Version increases with each change by the operator.
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Route defines the services for the requests of a host and path prefix, and how these requests are
// handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may be executed more than once.
	Idempotent bool
	// Timeout is the maximum time from the arrival of a request to its response.
	Timeout time.Duration
	// Objective is the latency objective, the time within which callers expect a response.
	Objective time.Duration
	// Attempts is the maximum number of targets to which one request is sent.
	Attempts int
	// Priority ranks routes under overload; 0 is the highest priority.
	Priority int
	// Parts are the services among which the requests are split by weight.
	Parts []Part
	// Regions are the regions whose targets are allowed; empty allows all.
	Regions []string
}

// Part is one service of a route with the weight of its share of the requests.
type Part struct {
	Service string
	Weight  float64
}

// Service holds the properties that all targets of a service share.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one target accepts from all nodes together.
	MaxConnections int
	// WarmupTime is how long a target stays cold after its start.
	WarmupTime time.Duration
	// WarmupRate is the number of requests per second that a cold target can process.
	WarmupRate float64
}

// Limits restrict the size and the timing of callers' requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Target is one registered instance of a service.
type Target struct {
	ID         string
	Address    string
	Service    string
	Version    string
	DataCentre string
	// Slots is the number of requests that the target processes concurrently.
	Slots int
	// Leaving targets are draining and accept no new requests.
	Leaving bool
	// WarmupLeft is the remaining warm-up time at the time of reading.
	WarmupLeft time.Duration
	// Incarnation distinguishes starts under the same ID.
	Incarnation int64
}

// RolloutState is the state in the status of a rollout.
type RolloutState int

// States of a rollout.
const (
	// RolloutNew is the state of a rollout without a status.
	RolloutNew RolloutState = iota
	RolloutInProgress
	RolloutComplete
	RolloutRolledBack
)

// Rollout is an operator's order to move a service to another version, with its state.
type Rollout struct {
	Service  string
	Version  string
	Duration time.Duration
	State    RolloutState
}

// Step is the progress of a rollout, written by the leader.
type Step struct {
	Service string
	// Version is the version that is rolled out, Base the old version, which it replaces.
	Version string
	Base    string
	// Order identifies the rollout order.
	Order uint64
	// Share is the fraction of the service's requests that Version receives.
	Share float64
	// Until is the time since the order after which nodes send Version no requests unless a later
	// step says so; 0 if the share has no end.
	Until time.Duration
	// Targets is the number of Version's targets over which the share is spread; 0 means all.
	Targets int
	// Elapsed is the time from the order to the writing of the step.
	Elapsed time.Duration
	// Sequence increases with each step of the service, whatever the store's revision is.
	Sequence uint64
	// Failed is set if the version is rolled back, or blocked at this node. It then receives no
	// requests.
	Failed bool
}

// Node is one node of the fleet.
type Node struct {
	Name       string
	Address    string
	DataCentre string
	// Incarnation distinguishes starts of the process.
	Incarnation int64
	// Weak nodes have too little CPU or network capacity to serve other nodes.
	Weak bool
}
