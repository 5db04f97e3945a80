package demo

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/testbed/target"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func after(seconds int) time.Time {
	return start.Add(time.Duration(seconds) * time.Second)
}

func ran(id string, at time.Time) target.Execution {
	return target.Execution{Path: "/payments/" + id, At: at}
}

// sound is a run in which no promise was broken.
func sound() Evidence {
	d := marsa()
	e := Evidence{Deployment: d, Facts: Facts{
		LoadStarted: start, LoadEnded: after(60), OutAt: after(10), InAt: after(30),
		StoppedNode: "n2", StoppedAt: after(20), Graceful: true, InForce: []time.Duration{time.Second},
		Moves: []Move{{Good: true}, {Good: true}, {Good: true}, {Name: d.Bad.Name, Good: true, BlockedAt: after(15)}},
	}}
	executions := []target.Execution{}
	for _, route := range d.Routes {
		e.Calls = append(e.Calls, Call{Route: route.Name, ID: route.Name, Node: "n1", Outcome: Answered})
		executions = append(executions, ran(route.Name, after(1)))
	}
	e.Targets = []TargetEvidence{
		{Service: "donor-ledger", DataCentre: "harbour", Version: oldVersion, Executions: executions, Budget: 2, Lifetime: time.Minute, Probes: 120},
		{Service: "donor-ledger", DataCentre: d.Out, Version: oldVersion, Executions: []target.Execution{ran("x", after(14)), ran("y", after(31))}},
		{Service: "donor-ledger", DataCentre: "harbour", Version: newVersion, Executions: nil},
		{Service: "donor-ledger", DataCentre: "harbour", Version: oldVersion, LeftAt: after(5)},
	}
	return e
}

// Guards against each check passing although its promise was broken, and against
// any check failing in a sound run.
func TestEachBrokenPromiseIsSeen(t *testing.T) {
	NewWithT(t).Expect(broken(CheckAll(sound()))).To(BeEmpty())
	cases := []struct {
		promise string
		spoil   func(*Evidence)
	}{
		{"P1", func(e *Evidence) { e.Targets[0].Probes = 122 }},
		{"P2", func(e *Evidence) { e.Targets[0].Overloads = 1 }},
		{"P3", func(e *Evidence) { e.Targets[1].Executions[0].At = after(16) }},
		{"P4", func(e *Evidence) { e.Targets[2].Executions = []target.Execution{ran("z", after(21))} }},
		{"P5", func(e *Evidence) { e.Calls[0].WrongBody = true }},
		{"P6", func(e *Evidence) {
			e.Calls[0].Outcome = NotRun
			e.Calls = append(e.Calls, Call{Route: "plaques", Outcome: Answered})
		}},
		{"P7", func(e *Evidence) {
			e.Targets[0].Executions = append(e.Targets[0].Executions, ran("payments", after(2)))
		}},
		{"P8", func(e *Evidence) { e.Targets[3].Executions = []target.Execution{ran("w", after(11))} }},
		{"P9", func(e *Evidence) {
			e.Calls = append(e.Calls, Call{Route: "plaques", Node: "n2", Outcome: Unknown, Ended: after(21)})
		}},
		{"P10", func(e *Evidence) { e.Facts.Problems = []string{"out not seen in force"} }},
		{"moves", func(e *Evidence) { e.Facts.Moves[0].Good = false }},
		{"load", func(e *Evidence) { e.Calls = e.Calls[1:] }},
		{"steps", func(e *Evidence) { e.Facts.Problems = []string{"kill a node: failed"} }},
	}
	for _, c := range cases {
		t.Run(c.promise, func(t *testing.T) {
			e := sound()
			c.spoil(&e)
			NewWithT(t).Expect(broken(CheckAll(e))).To(ContainElement(c.promise))
		})
	}
}

func broken(checks []Check) []string {
	promises := []string{}
	for _, c := range checks {
		if c.Broken > 0 {
			promises = append(promises, c.Promise)
		}
	}
	return promises
}

// Guards against accepting another caller's body, or one that was cut short.
func TestOwnBody(t *testing.T) {
	g := NewWithT(t)
	route := Route{Prefix: "/plaques/", Bytes: 3}
	g.Expect(ownBody(route, "a-1", []byte("a-1 /plaques/a-1\n\x00\x00\x00"))).To(BeTrue())
	g.Expect(ownBody(route, "a-1", []byte("a-2 /plaques/a-2\n\x00\x00\x00"))).To(BeFalse())
	g.Expect(ownBody(route, "a-1", []byte("a-1 /plaques/a-1\n\x00"))).To(BeFalse())
	g.Expect(ownBody(route, "a-1", nil)).To(BeFalse())
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
