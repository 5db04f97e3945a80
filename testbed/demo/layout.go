package demo

import (
	"fmt"
	"time"
)

// Deployment describes the system of one user, and its load.
type Deployment struct {
	// Name is also the directory of its declarations.
	Name        string
	Nodes       int
	DataCentres []string
	Services    []Service
	Routes      []Route
	// BasePort is the deployment's lowest port; the platform listens on it.
	BasePort int
	// GoodRollout and BadRollout are the rollouts during the run.
	GoodRollout, BadRollout Rollout
	// OutDataCentre is the data centre that is taken out of service and put back.
	OutDataCentre string
}

// Service describes a service's targets.
type Service struct {
	Name           string
	Targets        int
	MaxConnections int
	ServiceTime    time.Duration
	// MeasuringBudget is the declared budget of probe operations per second and target.
	MeasuringBudget float64
}

// Route describes the load on one route.
type Route struct {
	Name, Service, Method, Prefix string
	// PerSecond is the mean number of calls per second. Routes whose work kind is deduplicated
	// cost the platform one write per call; together they stay well below its limit of 300 writes
	// per second.
	PerSecond  float64
	Idempotent bool
	// BodyBytes is the size of the response after its first line.
	BodyBytes int
}

// Rollout describes the rollout of a new version next to the old one.
type Rollout struct {
	Name, Service string
	Targets       int
	// FailRatio is the share of requests that the new version fails.
	FailRatio float64
	// MaxUnjudgedPercent is the declared limit of the new version's share before there is a
	// verdict. Good rollouts have the larger limit, so that they complete within the run.
	MaxUnjudgedPercent int
}

const (
	oldVersion = "v1"
	newVersion = "v2"
)

// Deployments returns both users' deployments at their present sizes.
func Deployments() []Deployment {
	return []Deployment{vestfjord(), marsa()}
}

func vestfjord() Deployment {
	return Deployment{
		Name: "vestfjord", Nodes: 19, DataCentres: []string{"north", "middle", "south"}, BasePort: 12000, OutDataCentre: "south",
		Services: []Service{
			{"label-text", 20, 260, 5 * time.Millisecond, 2},
			{"qa-approval", 12, 260, 10 * time.Millisecond, 2},
			{"warehouse", 6, 260, 20 * time.Millisecond, 2},
		},
		Routes: []Route{
			{"batch-labels", "label-text", "GET", "/labels/", 800, true, 200},
			{"sign-offs", "qa-approval", "POST", "/sign-offs/", 100, false, 100},
			{"artwork", "warehouse", "GET", "/artwork/", 10, true, 200_000},
			{"releases", "warehouse", "POST", "/releases/", 15, false, 100},
		},
		GoodRollout: Rollout{Name: "label-text-v2", Service: "label-text", Targets: 4, MaxUnjudgedPercent: 20},
		BadRollout:  Rollout{Name: "qa-approval-v2", Service: "qa-approval", Targets: 2, FailRatio: 0.8, MaxUnjudgedPercent: 10},
	}
}

func marsa() Deployment {
	return Deployment{
		Name: "marsa", Nodes: 13, DataCentres: []string{"harbour", "hill", "airport"}, BasePort: 22000, OutDataCentre: "hill",
		Services: []Service{
			{"plaque-registry", 13, 220, 5 * time.Millisecond, 2},
			{"donor-ledger", 8, 220, 15 * time.Millisecond, 2},
			{"engraving-media", 6, 220, 25 * time.Millisecond, 2},
		},
		Routes: []Route{
			{"plaques", "plaque-registry", "GET", "/plaques/", 700, true, 200},
			{"payments", "donor-ledger", "POST", "/payments/", 30, false, 100},
			{"ledger", "donor-ledger", "GET", "/ledger/", 300, true, 400},
			{"engravings", "engraving-media", "POST", "/engravings/", 10, false, 100},
			{"photos", "engraving-media", "GET", "/photos/", 8, true, 400_000},
		},
		GoodRollout: Rollout{Name: "plaque-registry-v2", Service: "plaque-registry", Targets: 4, MaxUnjudgedPercent: 20},
		BadRollout:  Rollout{Name: "donor-ledger-v2", Service: "donor-ledger", Targets: 2, FailRatio: 0.8, MaxUnjudgedPercent: 10},
	}
}

// Offsets of the ports from the deployment's BasePort. All ports lie below the usual ephemeral
// range, so that an outgoing connection cannot occupy a listener's port.
const (
	targetPorts   = 100
	callerPorts   = 300
	operatorPorts = 400
	peerPorts     = 500
	relayPorts    = 600
)

func (d Deployment) address(offset, i int) string {
	return fmt.Sprintf("127.0.0.1:%d", d.BasePort+offset+i)
}

func (d Deployment) platformURL() string {
	return "http://" + d.address(0, 0)
}

// dataCentre assigns the i-th VM of a kind to a data centre, in rotation.
func (d Deployment) dataCentre(i int) string {
	return d.DataCentres[i%len(d.DataCentres)]
}

func (d Deployment) service(name string) Service {
	for _, s := range d.Services {
		if s.Name == name {
			return s
		}
	}
	return Service{}
}
