// Command capacity measures how the cost of each part of the system grows with its
// size. The figures of docs/CAPACITY.md come from its output.
package main

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/fireflychute/fireflychute/testbed/capacity"
)

type options struct {
	Nodes int    `long:"nodes" default:"60" description:"fleet size for which costs are calculated"`
	Cores int    `long:"cores" default:"2" description:"cores of a node VM"`
	Only  string `long:"only" default:"abcdefghi" description:"letters of the measurements to run"`
}

func main() {
	var opts options
	_, err := flags.Parse(&opts)
	if err != nil {
		os.Exit(2)
	}
	err = run(opts)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(opts options) error {
	report := capacity.TablePrinter{Out: os.Stdout}
	fmt.Printf("%s, %d processors, %s\n", runtime.Version(), runtime.NumCPU(), time.Now().UTC().Format(time.RFC3339))
	// Measurements of processor time run first, one at a time.
	measurements := []struct {
		letter string
		run    func() error
	}{
		{"e", func() error { return capacity.MeasureTraffic(report, opts.Cores) }},
		{"b", func() error { return capacity.MeasureControl(report, []int{60, 150}) }},
		{"d", func() error { return capacity.MeasureChanges(report) }},
		{"d", func() error { return capacity.MeasureVMList(report, opts.Nodes) }},
		{"g", func() error { return capacity.MeasureReports(report, opts.Nodes) }},
		{"h", func() error { capacity.MeasureUnits(report); return nil }},
		{"a", func() error { return capacity.MeasureGossip(report, opts.Nodes) }},
		{"c", func() error { return capacity.MeasureMemory(report) }},
		{"fi", func() error {
			return capacity.MeasurePlatformCalls(report, opts.Nodes, strings.Contains(opts.Only, "i"))
		}},
	}
	for _, measurement := range measurements {
		if !strings.ContainsAny(opts.Only, measurement.letter) {
			continue
		}
		start := time.Now()
		err := measurement.run()
		if err != nil {
			return err
		}
		fmt.Printf("measured in %.0f s\n\n", time.Since(start).Seconds())
	}
	return nil
}
