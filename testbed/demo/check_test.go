package demo

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/testbed/target"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func atSecond(seconds int) time.Time {
	return start.Add(time.Duration(seconds) * time.Second)
}

func execution(id string, at time.Time) target.Execution {
	return target.Execution{Path: "/payments/" + id, At: at}
}

// passingRun returns the record of a run in which every check passes.
func passingRun() RunRecord {
	d := marsa()
	e := RunRecord{Deployment: d, Observations: Observations{
		LoadStarted: start, LoadEnded: atSecond(60), OutAt: atSecond(10), InAt: atSecond(30),
		StoppedNode: "n2", StoppedAt: atSecond(20), Graceful: true, InForceTimes: []time.Duration{time.Second},
		Transitions: []Transition{{AsExpected: true}, {AsExpected: true}, {AsExpected: true}, {Name: d.BadRollout.Name, AsExpected: true, RolledBackAt: atSecond(15)}},
	}}
	executions := []target.Execution{}
	for _, route := range d.Routes {
		e.Calls = append(e.Calls, Call{Route: route.Name, ID: route.Name, Node: "n1", Outcome: Answered})
		executions = append(executions, execution(route.Name, atSecond(1)))
	}
	e.Targets = []TargetRecord{
		{Service: "donor-ledger", DataCentre: "harbour", Version: oldVersion, Executions: executions, MeasuringBudget: 2, Lifetime: time.Minute, Probes: 120},
		{Service: "donor-ledger", DataCentre: d.OutDataCentre, Version: oldVersion, Executions: []target.Execution{execution("x", atSecond(14)), execution("y", atSecond(31))}},
		{Service: "donor-ledger", DataCentre: "harbour", Version: newVersion, Executions: nil},
		{Service: "donor-ledger", DataCentre: "harbour", Version: oldVersion, LeavingSince: atSecond(5)},
	}
	return e
}

// Guards against a check that passes although its promise was violated, and against a check that
// fails in a run without violations.
func TestBrokenPromiseIsDetected(t *testing.T) {
	NewWithT(t).Expect(brokenPromises(CheckAll(passingRun()))).To(BeEmpty())
	cases := []struct {
		promise string
		violate func(*RunRecord)
	}{
		{"P1", func(e *RunRecord) { e.Targets[0].Probes = 122 }},
		{"P2", func(e *RunRecord) { e.Targets[0].Overloads = 1 }},
		{"P3", func(e *RunRecord) { e.Targets[1].Executions[0].At = atSecond(16) }},
		{"P4", func(e *RunRecord) { e.Targets[2].Executions = []target.Execution{execution("z", atSecond(21))} }},
		{"P5", func(e *RunRecord) { e.Calls[0].WrongBody = true }},
		{"P6", func(e *RunRecord) {
			e.Calls[0].Outcome = NotRun
			e.Calls = append(e.Calls, Call{Route: "plaques", Outcome: Answered})
		}},
		{"P7", func(e *RunRecord) {
			e.Targets[0].Executions = append(e.Targets[0].Executions, execution("payments", atSecond(2)))
		}},
		{"P8", func(e *RunRecord) { e.Targets[3].Executions = []target.Execution{execution("w", atSecond(11))} }},
		{"P9", func(e *RunRecord) {
			e.Calls = append(e.Calls, Call{Route: "plaques", Node: "n2", Outcome: Unknown, Ended: atSecond(21)})
		}},
		{"P10", func(e *RunRecord) { e.Observations.Problems = []string{"out not seen in force"} }},
		{"moves", func(e *RunRecord) { e.Observations.Transitions[0].AsExpected = false }},
		{"load", func(e *RunRecord) { e.Calls = e.Calls[1:] }},
		{"steps", func(e *RunRecord) { e.Observations.Problems = []string{"kill a node: failed"} }},
	}
	for _, c := range cases {
		t.Run(c.promise, func(t *testing.T) {
			e := passingRun()
			c.violate(&e)
			NewWithT(t).Expect(brokenPromises(CheckAll(e))).To(ContainElement(c.promise))
		})
	}
}

func brokenPromises(checks []Check) []string {
	promises := []string{}
	for _, c := range checks {
		if c.Violations > 0 {
			promises = append(promises, c.Promise)
		}
	}
	return promises
}

// Guards against accepting another caller's body, or a truncated one.
func TestIsOwnBody(t *testing.T) {
	g := NewWithT(t)
	route := Route{Prefix: "/plaques/", BodyBytes: 3}
	g.Expect(isOwnBody(route, "a-1", []byte("a-1 /plaques/a-1\n\x00\x00\x00"))).To(BeTrue())
	g.Expect(isOwnBody(route, "a-1", []byte("a-2 /plaques/a-2\n\x00\x00\x00"))).To(BeFalse())
	g.Expect(isOwnBody(route, "a-1", []byte("a-1 /plaques/a-1\n\x00"))).To(BeFalse())
	g.Expect(isOwnBody(route, "a-1", nil)).To(BeFalse())
}

// Guards against calls being sent to nodes that are not ready.
func TestBalancerChoosesOnlyReadyNodes(t *testing.T) {
	g := NewWithT(t)
	b := NewBalancer([]*Node{{Name: "a"}, {Name: "b"}})
	random := rand.New(rand.NewPCG(1, 0))
	g.Expect(b.Choose(random)).To(BeNil())
	b.ready.Store(&[]*Node{b.nodes[1]})
	g.Expect(b.Choose(random).Name).To(Equal("b"))
}
