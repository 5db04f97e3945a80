// Package modeltest runs the tests of a package with a fixed seed for its model tests,
// so that each run gives the same verdict.
package modeltest

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Options are the flags of rapid that a package fixes. A flag on the command line
// overrides them.
type Options struct {
	Seed uint64
	// Checks is the number of sequences per test; 0 takes rapid's default.
	Checks int
	// ShrinkTime bounds the search for a shorter failing sequence, as a duration; empty
	// takes rapid's default.
	ShrinkTime string
}

// Main is the body of a package's TestMain.
func Main(m *testing.M, options Options) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	set := func(name, value string) {
		if given[name] {
			return
		}
		err := flag.Set(name, value)
		if err != nil {
			panic(err) // the package does not import rapid
		}
	}
	set("rapid.seed", strconv.FormatUint(options.Seed, 10))
	set("rapid.nofailfile", "true")
	if options.Checks > 0 {
		set("rapid.checks", strconv.Itoa(options.Checks))
	}
	if options.ShrinkTime != "" {
		set("rapid.shrinktime", options.ShrinkTime)
	}
	os.Exit(m.Run())
}
