// Package catalog holds what the platform tells a node: the configuration, the
// targets, the orders of operators and the nodes of the fleet, in the project's
// own words. It knows no wire format.
package catalog

import "time"

// Configuration is the routes and services that are in force.
type Configuration struct {
	// Version grows with each change by the operator.
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Route tells where the requests of a host and path prefix go and what may be
// done with them.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Objective is the latency that callers expect.
	Objective time.Duration
	// Attempts is the number of targets to which one request may be sent.
	Attempts int
	// Priority ranks routes under overload; 0 is the most urgent.
	Priority int
	// Parts are the services that share the requests.
	Parts []Part
	// Regions limits the targets to regions; empty allows all.
	Regions []string
}

// Part is one service of a route with its share of the requests.
type Part struct {
	Service string
	Weight  float64
}

// Service is what all targets of one service have in common.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one target accepts from
	// all nodes together.
	MaxConnections int
	// WarmupTime is how long a target is cold after its start.
	WarmupTime time.Duration
	// WarmupRate is the requests per second that a cold target bears.
	WarmupRate float64
}

// Limits bound what a client may send.
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
	// Slots is the number of requests that it processes at the same time.
	Slots int
	// Leaving targets take no new requests.
	Leaving bool
	// WarmupLeft is how long it stays cold, as of the time at which it was read.
	WarmupLeft time.Duration
	// Incarnation differs between starts under the same ID.
	Incarnation int64
}

// RolloutState is the state of a rollout in its status.
type RolloutState int

// States of a rollout.
const (
	// RolloutNew has no status yet.
	RolloutNew RolloutState = iota
	RolloutInProgress
	RolloutComplete
	RolloutRolledBack
)

// Rollout is an order to move a service to another version.
type Rollout struct {
	Service  string
	Version  string
	Duration time.Duration
	State    RolloutState
}

// Step is the progress of a rollout, written by the node that leads it.
type Step struct {
	Service string
	// Version is the version that the step is about, Base the one it replaces.
	Version string
	Base    string
	// Order identifies the order.
	Order uint64
	// Share is the part of the service's requests that Version receives.
	Share float64
	// Targets is over how many of Version's targets the share is spread; 0 stands for all.
	Targets int
	// Elapsed is the time since the order at the time of writing.
	Elapsed time.Duration
	// Failed tells that the version was found to be bad.
	Failed bool
}

// Node is one node of the fleet.
type Node struct {
	Name       string
	Address    string
	DataCentre string
	// Incarnation differs between starts of the process.
	Incarnation int64
	// Weak nodes have too little processor or network to serve other nodes.
	Weak bool
}
