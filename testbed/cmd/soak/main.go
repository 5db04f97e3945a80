// Command soak injects random faults, by seed, into real nodes on loopback.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/fireflychute/fireflychute/testbed/soak"
)

type options struct {
	Binary    string  `long:"binary" default:"bin/fireflychute" description:"node binary"`
	Seed      uint64  `long:"seed" default:"1" description:"first seed"`
	Seeds     int     `long:"seeds" default:"1" description:"number of seeds"`
	Seconds   float64 `long:"seconds" default:"12" description:"duration of the fault injection of one seed"`
	Nodes     int     `long:"nodes" default:"4" description:"node processes of one seed"`
	Instances int     `long:"instances" default:"5" description:"stand-in instances of one seed, at least 4"`
	Parallel  int     `long:"parallel" default:"2" description:"seeds that run concurrently"`
	Logs      string  `long:"logs" default:"tmp/soak" description:"folder for settings and logs"`
}

func main() {
	var opts options
	_, err := flags.Parse(&opts)
	if err != nil {
		os.Exit(2)
	}
	if !runSeeds(opts) {
		os.Exit(1)
	}
}

// runSeeds runs the seeds and reports whether all passed.
func runSeeds(opts options) bool {
	var mu sync.Mutex
	failed := 0
	seeds := make(chan uint64)
	var running sync.WaitGroup
	for range opts.Parallel {
		running.Go(func() {
			for seed := range seeds {
				result, err := soak.Run(soak.Options{
					Binary: opts.Binary, Nodes: opts.Nodes, Instances: opts.Instances, Seed: seed, Duration: time.Duration(opts.Seconds * float64(time.Second)),
					Dir: filepath.Join(opts.Logs, strconv.FormatUint(seed, 10)),
				})
				mu.Lock()
				if !printResult(seed, result, err) {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	for i := range opts.Seeds {
		seeds <- opts.Seed + uint64(i)
	}
	close(seeds)
	running.Wait()
	fmt.Printf("%d passed, %d failed\n", opts.Seeds-failed, failed)
	return failed == 0
}

func printResult(seed uint64, result soak.Result, err error) bool {
	if err != nil {
		fmt.Printf("seed %d: %v\n", seed, err)
		return false
	}
	fmt.Printf("seed %d: %d faults, %d requests served, %d promises broken\n", seed, len(result.Faults), result.Served, len(result.Failures))
	if len(result.Failures) == 0 {
		return true
	}
	for _, fault := range result.Faults {
		fmt.Println("  ", fault)
	}
	for _, failure := range result.Failures {
		fmt.Println("  BROKEN", failure)
	}
	return false
}
