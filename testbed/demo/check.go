package demo

import (
	"fmt"
	"strings"
	"time"
)

// settlingTime is what the promises call a few seconds.
const settlingTime = 5 * time.Second

// Check is one promise and what the run showed of it.
type Check struct {
	// Promise is its number in docs/design.md.
	Promise, Text string
	// Broken is how often it was broken; Example is one case.
	Broken  int
	Example string
}

func (c *Check) breaks(format string, args ...any) {
	c.Broken++
	if c.Example == "" {
		c.Example = fmt.Sprintf(format, args...)
	}
}

// Evidence is everything that the checks look at.
type Evidence struct {
	Deployment Deployment
	Facts      Facts
	Calls      []Call
	Targets    []TargetEvidence
}

// CheckAll checks each promise of docs/design.md that a run can show.
func CheckAll(r Evidence) []Check {
	executed := r.executions()
	return []Check{
		r.checkBudget(), r.checkCold(), r.checkOut(), r.checkBadVersion(), r.checkBodies(),
		r.checkNotRun(executed), r.checkOnce(executed), r.checkLeaving(), r.checkPlannedStop(),
		r.checkInForce(), r.checkMoves(), r.checkServed(), r.checkSteps(),
	}
}

// executions counts the executions of each call.
func (r Evidence) executions() map[string]int {
	executed := map[string]int{}
	for _, t := range r.Targets {
		for _, e := range t.Executions {
			executed[callID(e)]++
		}
	}
	return executed
}

// checkBudget allows one operation beyond the rate, since a lifetime does not
// end on an interval.
func (r Evidence) checkBudget() Check {
	c := Check{Promise: "P1", Text: "measuring load within the budget"}
	for _, t := range r.Targets {
		if float64(t.Probes) > t.Budget*t.Lifetime.Seconds()+1 {
			c.breaks("%s: %d probes in %s, budget %g/s", t.Address, t.Probes, t.Lifetime.Round(time.Second), t.Budget)
		}
	}
	return c
}

func (r Evidence) checkCold() Check {
	c := Check{Promise: "P2", Text: "cold targets not overloaded"}
	for _, t := range r.Targets {
		if t.Overloads > 0 {
			c.breaks("%s (%s): %d requests beyond what it could handle", t.Address, t.Service, t.Overloads)
			c.Broken += t.Overloads - 1
		}
	}
	return c
}

func (r Evidence) checkOut() Check {
	c := Check{Promise: "P3", Text: "no new work in a data centre that is out"}
	if r.Facts.OutAt.IsZero() {
		c.breaks("no data centre was taken out")
		return c
	}
	end := r.Facts.InAt
	if end.IsZero() {
		end = r.Facts.LoadEnded
	}
	for _, t := range r.Targets {
		if t.DataCentre != r.Deployment.Out {
			continue
		}
		for _, e := range t.Executions {
			if e.At.After(r.Facts.OutAt.Add(settlingTime)) && e.At.Before(end) {
				c.breaks("%s started %s %s after the change", t.Address, callID(e), e.At.Sub(r.Facts.OutAt))
			}
		}
	}
	return c
}

// checkBadVersion looks at the share before a verdict and at work after the version was taken back.
func (r Evidence) checkBadVersion() Check {
	c := Check{Promise: "P4", Text: "a bad version gets a small share, and none once seen"}
	total, bad := 0, 0
	blockedAt := r.blockedAt()
	for _, t := range r.Targets {
		if t.Service != r.Deployment.Bad.Service {
			continue
		}
		total += len(t.Executions)
		if t.Version != newVersion {
			continue
		}
		bad += len(t.Executions)
		for _, e := range t.Executions {
			if !blockedAt.IsZero() && e.At.After(blockedAt.Add(settlingTime)) {
				c.breaks("%s started %s %s after the rollback", t.Address, callID(e), e.At.Sub(blockedAt))
			}
		}
	}
	if bad*100 > total*r.Deployment.Bad.UnjudgedPercent {
		c.breaks("%d of %d calls were run by the bad version", bad, total)
	}
	return c
}

func (r Evidence) blockedAt() time.Time {
	for _, m := range r.Facts.Moves {
		if m.Name == r.Deployment.Bad.Name {
			return m.BlockedAt
		}
	}
	return time.Time{}
}

func (r Evidence) checkBodies() Check {
	c := Check{Promise: "P5", Text: "each answer is the caller's own and complete"}
	for _, call := range r.Calls {
		if call.WrongBody {
			c.breaks("%s through %s", call.ID, call.Node)
		}
	}
	return c
}

func (r Evidence) checkNotRun(executed map[string]int) Check {
	c := Check{Promise: "P6", Text: "what was refused as not run was not run"}
	for _, call := range r.Calls {
		if (call.Outcome == NotRun || call.Outcome == NotSent) && executed[call.ID] > 0 {
			c.breaks("%s through %s was run %d times", call.ID, call.Node, executed[call.ID])
		}
	}
	return c
}

func (r Evidence) checkOnce(executed map[string]int) Check {
	c := Check{Promise: "P7", Text: "non-idempotent work runs at most once"}
	once := map[string]bool{}
	for _, route := range r.Deployment.Routes {
		once[route.Name] = !route.Idempotent
	}
	for _, call := range r.Calls {
		if once[call.Route] && executed[call.ID] > 1 {
			c.breaks("%s through %s was run %d times", call.ID, call.Node, executed[call.ID])
		}
	}
	return c
}

func (r Evidence) checkLeaving() Check {
	c := Check{Promise: "P8", Text: "no new work on a leaving target"}
	seen := false
	for _, t := range r.Targets {
		if t.LeftAt.IsZero() {
			continue
		}
		seen = true
		for _, e := range t.Executions {
			if e.At.After(t.LeftAt.Add(settlingTime)) {
				c.breaks("%s started %s %s after it was listed as leaving", t.Address, callID(e), e.At.Sub(t.LeftAt))
			}
		}
	}
	if !seen {
		c.breaks("no target was listed as leaving")
	}
	return c
}

func (r Evidence) checkPlannedStop() Check {
	c := Check{Promise: "P9", Text: "a planned stop cuts off no request"}
	if r.Facts.StoppedNode == "" || !r.Facts.Graceful {
		c.breaks("node %q did not end by itself", r.Facts.StoppedNode)
	}
	for _, call := range r.Calls {
		if call.Node == r.Facts.StoppedNode && call.Outcome == Unknown && call.Ended.After(r.Facts.StoppedAt) {
			c.breaks("%s: %s", call.ID, call.Detail)
		}
	}
	return c
}

func (r Evidence) checkInForce() Check {
	c := Check{Promise: "P10", Text: "each configuration is in force within 16 s"}
	for _, problem := range r.Facts.Problems {
		if strings.Contains(problem, "in force") {
			c.breaks("%s", problem)
		}
	}
	if len(r.Facts.InForce) == 0 && c.Broken == 0 {
		c.breaks("no configuration was seen in force")
	}
	return c
}

func (r Evidence) checkMoves() Check {
	c := Check{Promise: "moves", Text: "the moves reached their end"}
	for _, m := range r.Facts.Moves {
		if !m.Good {
			c.breaks("%s is %s (%s)", m.Name, m.State, m.Reason)
		}
	}
	if len(r.Facts.Moves) < 4 {
		c.breaks("%d of 4 moves were read", len(r.Facts.Moves))
	}
	return c
}

// checkServed keeps the other checks from passing on an idle run.
func (r Evidence) checkServed() Check {
	c := Check{Promise: "load", Text: "calls were answered on each route"}
	answered := map[string]int{}
	for _, call := range r.Calls {
		if call.Outcome == Answered {
			answered[call.Route]++
		}
	}
	for _, route := range r.Deployment.Routes {
		if answered[route.Name] == 0 {
			c.breaks("%s: none", route.Name)
		}
	}
	return c
}

func (r Evidence) checkSteps() Check {
	c := Check{Promise: "steps", Text: "each step of the run was done"}
	for _, problem := range r.Facts.Problems {
		if !strings.Contains(problem, "in force") {
			c.breaks("%s", problem)
		}
	}
	return c
}
