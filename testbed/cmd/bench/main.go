// Command bench compares the routing policy with baselines in a simulation.
package main

import (
	"fmt"
	"os"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jessevdk/go-flags"

	"github.com/fireflychute/fireflychute/testbed/bench"
)

type options struct {
	Seed    uint64        `long:"seed" default:"1" description:"seed of arrivals and routing decisions"`
	Length  time.Duration `long:"length" default:"10s" description:"simulated time of arrivals"`
	Calm    bool          `long:"calm" description:"run without bursts and faults"`
	Percent []int         `long:"percent" default:"50" default:"70" default:"85" default:"95" description:"load in percent of capacity"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	for _, scenario := range bench.Scenarios() {
		scenario.Calm = o.Calm
		compare(scenario, o)
	}
	printProbeCost(bench.Scenarios()[0])
}

// compare runs all policies and loads of a scenario concurrently and prints the results in
// order.
func compare(scenario bench.Scenario, o options) {
	names := bench.Policies()
	results := make([]bench.Result, len(names)*len(o.Percent))
	free := make(chan struct{}, runtime.GOMAXPROCS(0))
	var running sync.WaitGroup
	for i := range results {
		running.Go(func() {
			free <- struct{}{}
			defer func() { <-free }()
			load := float64(o.Percent[i/len(names)]) / 100
			results[i] = bench.Run(scenario, names[i%len(names)], load, o.Length, o.Seed)
		})
	}
	running.Wait()
	t := newTable(fmt.Sprintf("%s: %d nodes, %d targets, seed %d", scenario.Name, scenario.Nodes, scenario.Targets, o.Seed))
	t.AppendHeader(table.Row{"policy", "load", "answered", "refused", "of steady", "failed", "late", "cold", "in flight", "p50 ms", "p99 ms", "p99.9 ms", "p99 of steady"})
	for i, r := range results {
		if i > 0 && i%len(names) == 0 {
			t.AppendSeparator()
		}
		t.AppendRow(table.Row{
			r.Policy, fmt.Sprintf("%.0f%%", r.Load*100), r.Answered, r.Rejected, r.RejectedSteady, r.Failed, r.PastDeadline, r.Overloads, r.MaxInFlight,
			millis(r.Latency, 50), millis(r.Latency, 99), millis(r.Latency, 99.9), millis(r.SteadyLatency, 99),
		})
	}
	t.Render()
}

func millis(h *hdrhistogram.Histogram, quantile float64) string {
	return fmt.Sprintf("%.1f", float64(h.ValueAtQuantile(quantile))/1000)
}

// printProbeCost prints the cost of load probes at idle targets, by number of nodes, with
// connections accepted and refused.
func printProbeCost(scenario bench.Scenario) {
	t := newTable("load probe cost in operations per second, " + scenario.Name)
	t.AppendHeader(table.Row{"nodes", "connections", "most per target", "budget per target", "all targets"})
	for _, nodes := range []int{4, 19, 100} {
		for _, refusing := range []bool{false, true} {
			cost := bench.MeasureProbeCost(scenario, nodes, refusing)
			state := "accepted"
			if refusing {
				state = "refused"
			}
			t.AppendRow(table.Row{nodes, state, fmt.Sprintf("%.2f", cost.PerTarget), cost.Budget, fmt.Sprintf("%.1f", cost.Fleet)})
		}
	}
	t.Render()
}

func newTable(title string) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(os.Stdout)
	t.SetTitle(title)
	return t
}
