package demo

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jedib0t/go-pretty/v6/table"
)

// maxLatencyMicros is the largest latency that the histograms record; longer ones count as this.
const maxLatencyMicros = 60_000_000

// routeTotals summarises the calls of one route. runTwice counts the calls that were executed more
// than once.
type routeTotals struct {
	sent      int
	outcomes  map[Outcome]int
	runTwice  int
	latencies *hdrhistogram.Histogram
}

func (r RunRecord) totalsByRoute(executed map[string]int) map[string]*routeTotals {
	totals := map[string]*routeTotals{}
	for _, route := range r.Deployment.Routes {
		totals[route.Name] = &routeTotals{outcomes: map[Outcome]int{}, latencies: hdrhistogram.New(1, maxLatencyMicros, 3)}
	}
	for _, call := range r.Calls {
		t := totals[call.Route]
		t.sent++
		t.outcomes[call.Outcome]++
		if executed[call.ID] > 1 {
			t.runTwice++
		}
		if call.Outcome == Answered {
			_ = t.latencies.RecordValue(min(call.Latency().Microseconds(), maxLatencyMicros))
		}
	}
	return totals
}

// Print writes the tables of one deployment.
func (r RunRecord) Print(out io.Writer, checks []Check) {
	fmt.Fprintf(out, "\n%s\n", r.Deployment.Name)
	r.printRoutes(out)
	r.printTransitions(out)
	r.printPlatformLoad(out)
	printChecks(out, checks)
}

func newTable(out io.Writer, header ...any) table.Writer {
	w := table.NewWriter()
	w.SetOutputMirror(out)
	w.AppendHeader(header)
	return w
}

func (r RunRecord) printRoutes(out io.Writer) {
	w := newTable(out, "route", "sent", "answered", "failed", "refused as not run", "unknown", "not sent", "run twice", "p50 ms", "p99 ms", "p99.9 ms")
	totals := r.totalsByRoute(r.executionCounts())
	for _, route := range r.Deployment.Routes {
		t := totals[route.Name]
		w.AppendRow(table.Row{
			route.Name, t.sent, t.outcomes[Answered], t.outcomes[Failed], t.outcomes[NotRun], t.outcomes[Unknown], t.outcomes[NotSent], t.runTwice,
			t.latencyMillis(50), t.latencyMillis(99), t.latencyMillis(99.9),
		})
	}
	w.Render()
}

func (t *routeTotals) latencyMillis(percentile float64) string {
	return fmt.Sprintf("%.1f", float64(t.latencies.ValueAtQuantile(percentile))/1000)
}

func (r RunRecord) printTransitions(out io.Writer) {
	w := newTable(out, "move", "state", "reason")
	for _, m := range r.Observations.Transitions {
		w.AppendRow(table.Row{m.Name, m.State, m.Reason})
	}
	w.SetColumnConfigs([]table.ColumnConfig{{Number: 3, WidthMax: 90}})
	w.Render()
}

func (r RunRecord) printPlatformLoad(out io.Writer) {
	c := r.Observations.Counts
	seconds := r.Observations.LoadEnded.Sub(r.Observations.LoadStarted).Seconds()
	w := newTable(out, "platform calls while under load", "per second")
	w.AppendRow(table.Row{"reads", fmt.Sprintf("%.1f", float64(c.Reads)/seconds)})
	w.AppendRow(table.Row{"of which watches", fmt.Sprintf("%.1f", float64(c.Watches)/seconds)})
	w.AppendRow(table.Row{"writes", fmt.Sprintf("%.1f", float64(c.Writes)/seconds)})
	w.AppendRow(table.Row{"refused by rate", fmt.Sprintf("%.1f", float64(c.RateLimited)/seconds)})
	w.Render()
	mean, highest := r.probeRates()
	fmt.Fprintf(out, "measuring operations per second and target: mean %.2f, most %.2f\n", mean, highest)
	for _, elapsed := range r.Observations.InForceTimes {
		fmt.Fprintf(out, "configuration in force after %s\n", elapsed.Round(time.Millisecond))
	}
}

// probeRates returns the mean and the highest rate of probes per second over the targets that have
// a lifetime.
func (r RunRecord) probeRates() (mean, highest float64) {
	targets := 0
	for _, t := range r.Targets {
		if t.Lifetime == 0 {
			continue
		}
		rate := float64(t.Probes) / t.Lifetime.Seconds()
		mean += rate
		highest = max(highest, rate)
		targets++
	}
	return mean / float64(max(1, targets)), highest
}

func printChecks(out io.Writer, checks []Check) {
	w := newTable(out, "promise", "check", "broken", "for example")
	for _, c := range checks {
		w.AppendRow(table.Row{c.Promise, c.Text, c.Violations, c.Example})
	}
	w.SetColumnConfigs([]table.ColumnConfig{{Number: 4, WidthMax: 90}})
	w.Render()
}

// CountBroken returns the number of checks with violations.
func CountBroken(checks []Check) int {
	broken := 0
	for _, c := range checks {
		if c.Violations > 0 {
			broken++
		}
	}
	return broken
}
