package demo

import (
	"fmt"
	"strings"
	"time"
)

// settlingTime is the bound used for the promises that allow a few seconds to take effect.
const settlingTime = 5 * time.Second

// Check is the result of checking one promise against a run.
type Check struct {
	// Promise is the number in docs/design.md, or the name of a check of the run itself.
	Promise, Text string
	// Violations is the number of violations; Example describes the first.
	Violations int
	Example    string
}

func (c *Check) addViolation(format string, args ...any) {
	c.Violations++
	if c.Example == "" {
		c.Example = fmt.Sprintf(format, args...)
	}
}

// RunRecord is the input of the checks: what the script, the callers and the targets recorded.
type RunRecord struct {
	Deployment   Deployment
	Observations Observations
	Calls        []Call
	Targets      []TargetRecord
}

// CheckAll checks each promise of docs/design.md whose violation a run can show, and that the run
// itself was complete.
func CheckAll(r RunRecord) []Check {
	executed := r.executionCounts()
	return []Check{
		r.checkBudget(), r.checkColdTargets(), r.checkDataCentreOut(), r.checkBadVersion(), r.checkBodies(),
		r.checkNotRun(executed), r.checkAtMostOnce(executed), r.checkLeavingTargets(), r.checkPlannedStop(),
		r.checkInForce(), r.checkTransitions(), r.checkRoutesServed(), r.checkSteps(),
	}
}

// executionCounts returns the number of executions by call ID.
func (r RunRecord) executionCounts() map[string]int {
	executed := map[string]int{}
	for _, t := range r.Targets {
		for _, e := range t.Executions {
			executed[callID(e)]++
		}
	}
	return executed
}

// checkBudget allows one probe above the budget, since a target's lifetime is no multiple of the
// probe interval.
func (r RunRecord) checkBudget() Check {
	c := Check{Promise: "P1", Text: "measuring load within the budget"}
	for _, t := range r.Targets {
		if float64(t.Probes) > t.MeasuringBudget*t.Lifetime.Seconds()+1 {
			c.addViolation("%s: %d probes in %s, budget %g/s", t.Address, t.Probes, t.Lifetime.Round(time.Second), t.MeasuringBudget)
		}
	}
	return c
}

func (r RunRecord) checkColdTargets() Check {
	c := Check{Promise: "P2", Text: "cold targets not overloaded"}
	for _, t := range r.Targets {
		if t.Overloads > 0 {
			c.addViolation("%s (%s): %d requests above its cold capacity", t.Address, t.Service, t.Overloads)
			c.Violations += t.Overloads - 1
		}
	}
	return c
}

func (r RunRecord) checkDataCentreOut() Check {
	c := Check{Promise: "P3", Text: "no new work in a data centre that is out"}
	if r.Observations.OutAt.IsZero() {
		c.addViolation("no data centre was taken out")
		return c
	}
	end := r.Observations.InAt
	if end.IsZero() {
		end = r.Observations.LoadEnded
	}
	for _, t := range r.Targets {
		if t.DataCentre != r.Deployment.OutDataCentre {
			continue
		}
		for _, e := range t.Executions {
			if e.At.After(r.Observations.OutAt.Add(settlingTime)) && e.At.Before(end) {
				c.addViolation("%s started %s %s after the data centre was taken out", t.Address, callID(e), e.At.Sub(r.Observations.OutAt))
			}
		}
	}
	return c
}

// checkBadVersion checks that the bad version ran at most the declared share of all executions of
// its service, and that it started none later than settlingTime after its rollback.
func (r RunRecord) checkBadVersion() Check {
	c := Check{Promise: "P4", Text: "a bad version gets a bounded share, and none after its rollback"}
	total, badVersion := 0, 0
	rolledBackAt := r.rollbackTime()
	for _, t := range r.Targets {
		if t.Service != r.Deployment.BadRollout.Service {
			continue
		}
		total += len(t.Executions)
		if t.Version != newVersion {
			continue
		}
		badVersion += len(t.Executions)
		for _, e := range t.Executions {
			if !rolledBackAt.IsZero() && e.At.After(rolledBackAt.Add(settlingTime)) {
				c.addViolation("%s started %s %s after the rollback", t.Address, callID(e), e.At.Sub(rolledBackAt))
			}
		}
	}
	if badVersion*100 > total*r.Deployment.BadRollout.MaxUnjudgedPercent {
		c.addViolation("%d of %d calls were run by the bad version", badVersion, total)
	}
	return c
}

func (r RunRecord) rollbackTime() time.Time {
	for _, m := range r.Observations.Transitions {
		if m.Name == r.Deployment.BadRollout.Name {
			return m.RolledBackAt
		}
	}
	return time.Time{}
}

func (r RunRecord) checkBodies() Check {
	c := Check{Promise: "P5", Text: "each response is the caller's own and complete"}
	for _, call := range r.Calls {
		if call.WrongBody {
			c.addViolation("%s through %s", call.ID, call.Node)
		}
	}
	return c
}

func (r RunRecord) checkNotRun(executed map[string]int) Check {
	c := Check{Promise: "P6", Text: "calls rejected as not run were not run"}
	for _, call := range r.Calls {
		if (call.Outcome == NotRun || call.Outcome == NotSent) && executed[call.ID] > 0 {
			c.addViolation("%s through %s was run %d times", call.ID, call.Node, executed[call.ID])
		}
	}
	return c
}

func (r RunRecord) checkAtMostOnce(executed map[string]int) Check {
	c := Check{Promise: "P7", Text: "non-idempotent work runs at most once"}
	nonIdempotent := map[string]bool{}
	for _, route := range r.Deployment.Routes {
		nonIdempotent[route.Name] = !route.Idempotent
	}
	for _, call := range r.Calls {
		if nonIdempotent[call.Route] && executed[call.ID] > 1 {
			c.addViolation("%s through %s was run %d times", call.ID, call.Node, executed[call.ID])
		}
	}
	return c
}

func (r RunRecord) checkLeavingTargets() Check {
	c := Check{Promise: "P8", Text: "no new work on a leaving target"}
	seen := false
	for _, t := range r.Targets {
		if t.LeavingSince.IsZero() {
			continue
		}
		seen = true
		for _, e := range t.Executions {
			if e.At.After(t.LeavingSince.Add(settlingTime)) {
				c.addViolation("%s started %s %s after it was listed as leaving", t.Address, callID(e), e.At.Sub(t.LeavingSince))
			}
		}
	}
	if !seen {
		c.addViolation("no target was listed as leaving")
	}
	return c
}

func (r RunRecord) checkPlannedStop() Check {
	c := Check{Promise: "P9", Text: "a planned stop interrupts no request"}
	if r.Observations.StoppedNode == "" || !r.Observations.Graceful {
		c.addViolation("node %q did not exit by itself after SIGTERM", r.Observations.StoppedNode)
	}
	for _, call := range r.Calls {
		if call.Node == r.Observations.StoppedNode && call.Outcome == Unknown && call.Ended.After(r.Observations.StoppedAt) {
			c.addViolation("%s: %s", call.ID, call.Detail)
		}
	}
	return c
}

func (r RunRecord) checkInForce() Check {
	c := Check{Promise: "P10", Text: "each configuration is in force within 16 s"}
	for _, problem := range r.Observations.Problems {
		if strings.Contains(problem, "in force") {
			c.addViolation("%s", problem)
		}
	}
	if len(r.Observations.InForceTimes) == 0 && c.Violations == 0 {
		c.addViolation("no configuration was seen in force")
	}
	return c
}

func (r RunRecord) checkTransitions() Check {
	c := Check{Promise: "moves", Text: "rollouts and data centre changes reached their expected states"}
	for _, m := range r.Observations.Transitions {
		if !m.AsExpected {
			c.addViolation("%s is %s (%s)", m.Name, m.State, m.Reason)
		}
	}
	if len(r.Observations.Transitions) < 4 {
		c.addViolation("%d of 4 final states were read", len(r.Observations.Transitions))
	}
	return c
}

// checkRoutesServed fails a run without answered calls, in which the other checks pass trivially.
func (r RunRecord) checkRoutesServed() Check {
	c := Check{Promise: "load", Text: "calls were answered on each route"}
	answered := map[string]int{}
	for _, call := range r.Calls {
		if call.Outcome == Answered {
			answered[call.Route]++
		}
	}
	for _, route := range r.Deployment.Routes {
		if answered[route.Name] == 0 {
			c.addViolation("%s: none", route.Name)
		}
	}
	return c
}

func (r RunRecord) checkSteps() Check {
	c := Check{Promise: "steps", Text: "each step of the run was done"}
	for _, problem := range r.Observations.Problems {
		if !strings.Contains(problem, "in force") {
			c.addViolation("%s", problem)
		}
	}
	return c
}
